//go:build !failpoint

// Package failpoint names points of the program at which a test may kill the whole process. In a usual build a point is
// an empty function. In a build with the tag failpoint, the environment variable KITEFALL_FAILPOINT=NAME or NAME:N kills
// the process with SIGKILL when the point NAME is reached for the Nth time.
package failpoint

// Hit does nothing in a usual build.
func Hit(string) {}
