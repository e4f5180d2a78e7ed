// Package channel holds what the language lacks for channels that are closed to tell that something has ended.
package channel

// IsClosed reports whether a channel on which nothing is sent is closed. It does not wait.
func IsClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
