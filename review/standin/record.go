package standin

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file that lists what was sent, answered and run, one line each. Its methods may be
// called by several goroutines.
type Record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// Now returns the time since the record was begun.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Logf writes a line, which begins with the time in seconds.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f ", r.Now().Seconds())
	_, _ = fmt.Fprintf(r.out, format, args...)
	_ = r.out.WriteByte('\n')
}

// Close writes what is left and closes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
