package logthrottle_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"kitefall/internal/logthrottle"
)

// Lines of one kind at a high rate must not fill the log.
func TestLogSkipsRepeatedLines(t *testing.T) {
	var out bytes.Buffer
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&out, nil)))
	defer slog.SetDefault(previous)
	logger := logthrottle.New()
	for range 10_000 {
		logger.Log(slog.LevelWarn, "closed", "addr", "a")
	}
	assert.Less(t, strings.Count(out.String(), "\n"), 10)
	assert.Contains(t, out.String(), "msg=closed addr=a")
}
