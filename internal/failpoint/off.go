//go:build !failpoint

// Package failpoint marks points in the program at which a test can kill the whole process. In a normal build, Hit does
// nothing. In a build with the tag failpoint and with KITEFALL_FAILPOINT=NAME or NAME:N in the environment, the process
// kills itself with SIGKILL when it reaches the failpoint NAME for the first or the Nth time.
package failpoint

// Hit does nothing in a normal build.
func Hit(string) {}
