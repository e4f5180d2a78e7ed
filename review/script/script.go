// Package script runs the scripts of the review's cases from Go tests. The tests are for manual runs: they are skipped
// unless the environment variable Env is set.
package script

import (
	"errors"
	"os"
	"os/exec"
	"testing"
)

// Env is the environment variable that lets the tests run the scripts. With TROUBLE=0 beside it, the scripts play their
// cases without the disruptions.
const Env = "KITEFALL_REVIEW"

// notRun is the exit code of a script whose case could not run.
const notRun = 2

// Run runs the script run.sh in the directory of the test, and fails the test if the script finds that the rule was broken.
func Run(t *testing.T) {
	t.Helper()
	if os.Getenv(Env) == "" {
		t.Skip("a case of the review, run by hand with " + Env + "=1")
	}
	output, err := exec.Command("./run.sh").CombinedOutput()
	t.Logf("%s", output)
	var exit *exec.ExitError
	switch {
	case errors.As(err, &exit) && exit.ExitCode() == notRun:
		t.Fatal("the case could not run")
	case err != nil:
		t.Fatal("the rule was broken: ", err)
	}
}
