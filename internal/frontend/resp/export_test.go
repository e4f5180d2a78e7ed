package resp

// IncompleteRequests returns how many connections have sent a request in part.
func (s *Server) IncompleteRequests() int {
	incomplete := 0
	for _, conn := range s.openConns() {
		if conn.requestBegan.Load() != 0 {
			incomplete++
		}
	}
	return incomplete
}
