// Package verdict tests the script that gives the verdict on all tests: a check that cannot fail is none.
package citest

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestKnownRed(t *testing.T) {
	script, err := filepath.Abs("../../.ci/test")
	require.NoError(t, err)
	const red, fine = "m/a TestRed: it is broken (issue 3)\n", "m/a TestFine: it is broken (issue 3)\n"
	for name, c := range map[string]struct {
		known  string // none: the file is absent
		broken bool   // a test fails that is not known
		passes bool
		says   string
	}{
		"red and not known":     {broken: true, says: "--- FAIL: TestRed"},
		"red and known":         {known: red, broken: true, passes: true, says: "known red: m/a TestRed: it is broken"},
		"known, but passes":     {known: red, says: "TestRed passes"},
		"another one red":       {known: fine, broken: true, says: "--- FAIL: TestRed"},
		"no cause":              {known: "m/a TestRed: (issue 3)\n", broken: true, says: "not 'PACKAGE TEST"},
		"no issue":              {known: "m/a TestRed: it is broken\n", broken: true, says: "not 'PACKAGE TEST"},
		"no test":               {known: "m/a TestNone: it is broken (issue 3)\n", broken: true, says: "is no test of m/a"},
		"four lines":            {known: red + red + red + red, broken: true, says: "more than three lines"},
		"nothing in it":         {known: "\n", says: "names no test"},
		"the same name, abroad": {known: "m/b TestRed: it is broken (issue 3)\n", broken: true, says: "--- FAIL: TestRed"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			write := func(path, text string) {
				require.NoError(t, os.MkdirAll(filepath.Dir(filepath.Join(dir, path)), 0o700))
				require.NoError(t, os.WriteFile(filepath.Join(dir, path), []byte(text), 0o600))
			}
			body := ""
			if c.broken {
				body = `t.Error("broken")`
			}
			write("go.mod", "module m\n\ngo 1.26\n")
			write("a/a_test.go", "package a\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) { "+body+" }\nfunc TestFine(t *testing.T) {}\n")
			write("b/b_test.go", "package b\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) { t.Error(\"broken here\") }\n")
			if c.known != "m/b TestRed: it is broken (issue 3)\n" {
				write("b/b_test.go", "package b\n\nimport \"testing\"\n\nfunc TestOther(t *testing.T) {}\n")
			}
			if c.known != "" {
				write("KNOWN-RED.txt", c.known)
			}
			out, err := exec.Command(script, dir).CombinedOutput()
			assert.Equal(t, c.passes, err == nil, "%s", out)
			assert.Contains(t, string(out), c.says)
		})
	}
}
