package rig

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// EnforceMemory does what the platform does with a process that exceeds memory_mb:
// it kills the process and starts it again after a short delay. It returns the
// count of such ends.
func (f *Fleet) EnforceMemory(g *Gateway) *atomic.Int64 {
	var ends atomic.Int64
	go func() {
		peak := 0
		for {
			time.Sleep(10 * time.Millisecond)
			mb := residentMB(g.Pid())
			if mb > peak+50 {
				peak = mb
				Log("%s uses %d MB", g.Name, mb)
			}
			if mb <= f.MemoryMB {
				continue
			}
			g.Kill()
			Log("%s used %d MB, more than its memory_mb = %d, and was killed", g.Name, mb, f.MemoryMB)
			ends.Add(1)
			time.Sleep(500 * time.Millisecond)
			g.Start(f.root)
			peak = 0
		}
	}()
	return &ends
}

// residentMB returns the resident memory of a process, or 0 if it doesn't run.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kb / 1024
		}
	}
	return 0
}

// Owns reports whether the process has a connected socket with this local port of
// 127.0.0.1.
func (g *Gateway) Owns(port int) bool {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return false
	}
	local := fmt.Sprintf("0100007F:%04X", port)
	for _, line := range strings.Split(string(table), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 10 || fields[1] != local {
			continue
		}
		dir := fmt.Sprintf("/proc/%d/fd/", g.Pid())
		entries, _ := os.ReadDir(dir)
		for _, e := range entries {
			if target, err := os.Readlink(dir + e.Name()); err == nil && target == "socket:["+fields[9]+"]" {
				return true
			}
		}
	}
	return false
}
