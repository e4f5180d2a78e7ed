package resp

// DrainSweepInterval is the time between two sweeps during a drain.
const DrainSweepInterval = drainSweepInterval

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

// IdleConns returns the number of connections that have had requests and now have none in flight and no unwritten answer.
func (s *Server) IdleConns() int {
	idle := 0
	for _, conn := range s.openConns() {
		if client := conn.attachedClient(); client != nil {
			if _, isIdle := client.idleSince(); isIdle {
				idle++
			}
		}
	}
	return idle
}
