package balancer

// statusNames holds the names of the statuses in logs and metrics.
var statusNames = [...]string{
	Failed:        "failed",
	OK:            "ok",
	Rejected:      "rejected",
	TimedOut:      "timed_out",
	ConnectFailed: "connect_failed",
	Reset:         "reset",
	Cancelled:     "cancelled",
	NotSent:       "not_sent",
	Miss:          "miss",
}

// String returns the name of the status in logs and metrics.
func (s Status) String() string { return statusNames[s] }
