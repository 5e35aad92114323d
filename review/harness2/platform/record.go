package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case notes what happened, with the seconds since its
// start. The last lines also go to standard output.
type record struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// addf writes a line to the file.
func (r *record) addf(format string, args ...any) { r.write(false, format, args...) }

// notef writes a line to the file and to standard output.
func (r *record) notef(format string, args ...any) { r.write(true, format, args...) }

func (r *record) write(echo bool, format string, args ...any) {
	line := fmt.Sprintf("%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.out.WriteString(line) // an error shows at the flush
	if echo {
		fmt.Print(line)
	}
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
	}
	_ = r.file.Close() // flushed before
}
