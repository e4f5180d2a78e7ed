package standin

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is a file with one line for each thing that was sent, answered or run. Each line begins with the seconds since
// the start of the case. A Record is safe for concurrent use.
type Record struct {
	mu     sync.Mutex
	start  time.Time
	file   *os.File
	writer *bufio.Writer
}

// NewRecord creates the file at path, or empties it.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

// Add writes a line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.writer, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.writer, format, args...)
	r.writer.WriteByte('\n')
	r.writer.Flush()
}

// Close closes the file.
func (r *Record) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writer.Flush()
	return r.file.Close()
}
