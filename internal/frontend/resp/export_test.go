package resp

// IncompleteRequests returns the number of connections with an incomplete request.
func (s *Server) IncompleteRequests() int {
	incomplete := 0
	for _, conn := range s.openConns() {
		if conn.incompleteSince.Load() != 0 {
			incomplete++
		}
	}
	return incomplete
}
