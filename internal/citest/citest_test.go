// Package citest tests the script .ci/test, which decides whether CI passes: a check that cannot fail would be none.
package citest

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Lines of KNOWN-RED.txt for tests of the fixture module.
const (
	redKnown     = "m/a TestRed: it is broken (issue 3)\n"
	fineKnown    = "m/a TestFine: it is broken (issue 3)\n"
	redOfBKnown  = "m/b TestRed: it is broken (issue 3)\n"
	missingKnown = "m/a TestNone: it is broken (issue 3)\n"
	withoutCause = "m/a TestRed: (issue 3)\n"
	withoutIssue = "m/a TestRed: it is broken\n"
)

// fixture is a module m with the packages a and b, which have tests of the same name.
type fixture struct {
	knownRed string // content of KNOWN-RED.txt; empty: there is no such file
	aBroken  bool   // TestRed of package a fails
	bBroken  bool   // TestRed of package b fails
}

// write returns the folder of the module.
func (f fixture) write(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	writeFile := func(path, text string) {
		path = filepath.Join(dir, path)
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o700))
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	}
	writeFile("go.mod", "module m\n\ngo 1.26\n")
	writeFile("a/a_test.go", testFile("a", f.aBroken)+"func TestFine(t *testing.T) {}\n")
	writeFile("b/b_test.go", testFile("b", f.bBroken))
	if f.knownRed != "" {
		writeFile("KNOWN-RED.txt", f.knownRed)
	}
	return dir
}

// testFile returns a test file with the test TestRed.
func testFile(packageName string, broken bool) string {
	body := ""
	if broken {
		body = `t.Error("broken")`
	}
	return "package " + packageName + "\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) { " + body + " }\n"
}

var verdictCases = map[string]struct {
	fixture
	passes bool
	prints string
}{
	"red and not known": {
		fixture: fixture{aBroken: true},
		prints:  "--- FAIL: TestRed",
	},
	"red and known": {
		fixture: fixture{knownRed: redKnown, aBroken: true},
		passes:  true,
		prints:  "known red: m/a TestRed: it is broken",
	},
	"known, but passes": {
		fixture: fixture{knownRed: redKnown},
		prints:  "TestRed passes",
	},
	"another test red": {
		fixture: fixture{knownRed: fineKnown, aBroken: true},
		prints:  "--- FAIL: TestRed",
	},
	"no cause": {
		fixture: fixture{knownRed: withoutCause, aBroken: true},
		prints:  "not 'PACKAGE TEST",
	},
	"no issue": {
		fixture: fixture{knownRed: withoutIssue, aBroken: true},
		prints:  "not 'PACKAGE TEST",
	},
	"no such test": {
		fixture: fixture{knownRed: missingKnown, aBroken: true},
		prints:  "is no test of m/a",
	},
	"four lines": {
		fixture: fixture{knownRed: strings.Repeat(redKnown, 4), aBroken: true},
		prints:  "more than three lines",
	},
	"empty file": {
		fixture: fixture{knownRed: "\n"},
		prints:  "names no test",
	},
	"red and known in the other package": {
		fixture: fixture{knownRed: redOfBKnown, bBroken: true},
		passes:  true,
		prints:  "known red: m/b TestRed: it is broken",
	},
	"red in both packages, known in one": {
		fixture: fixture{knownRed: redOfBKnown, aBroken: true, bBroken: true},
		prints:  "--- FAIL: TestRed",
	},
}

func TestVerdict(t *testing.T) {
	script, err := filepath.Abs("../../.ci/test")
	require.NoError(t, err)
	for name, test := range verdictCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			out, err := exec.Command(script, test.write(t)).CombinedOutput()
			assert.Equal(t, test.passes, err == nil, "%s", out)
			assert.Contains(t, string(out), test.prints)
		})
	}
}
