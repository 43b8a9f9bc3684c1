package main

import (
	"fmt"
	"os"

	"bilberrytiller.example/review/rig"
)

// openFiles returns the number of descriptors that the machine's process has open.
func openFiles(g *rig.Gateway) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.Pid()))
	if err != nil {
		return -1
	}
	return len(entries)
}
