package quiet_test

import (
	"bytes"
	"log"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"kitefall/internal/quiet"
)

// A flood of one kind of line must not fill the log.
func TestRepeatedLinesAreLeftOut(t *testing.T) {
	var out bytes.Buffer
	log.SetOutput(&out)
	defer log.SetOutput(os.Stderr)
	l := quiet.NewLine()
	for range 10_000 {
		l.Printf("closed %s", "a")
	}
	assert.Less(t, strings.Count(out.String(), "\n"), 10)
	assert.Contains(t, out.String(), "closed a")
}
