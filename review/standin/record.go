package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the seconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), began: time.Now()}, nil
}

func (r *record) add(format string, args ...any) { r.addAt(time.Now(), format, args...) }

func (r *record) addAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f  %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say records a line and prints it.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf("%9.4f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
