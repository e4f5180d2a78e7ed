//go:build !failpoint

// Package failpoint names the moments at which a test may have the whole process killed. In a usual build a
// point is an empty function; with the build tag failpoint, KITEFALL_FAILPOINT=NAME or NAME:N ends the process by
// SIGKILL when the point NAME is reached for the Nth time.
package failpoint

// Hit does nothing in a usual build.
func Hit(string) {}
