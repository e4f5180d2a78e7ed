// Package channel has helpers for channels that carry no values and are closed as a signal.
package channel

// IsClosed reports whether a channel is closed, without blocking. No values may be sent on the channel.
func IsClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
