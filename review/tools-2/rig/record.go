package rig

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record is the file of what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord opens record.txt in a folder.
func NewRecord(folder string) (*Record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	return &Record{file: f, began: time.Now()}, err
}

// Write adds a line with the time since the start.
func (r *Record) Write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Print writes a line and prints it.
func (r *Record) Print(format string, args ...any) {
	r.Write(format, args...)
	fmt.Printf(format+"\n", args...)
}
