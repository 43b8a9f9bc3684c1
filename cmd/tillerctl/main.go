// Command tillerctl changes catalogue entries and shows the state of daemons.
package main

import (
	"os"

	"bilberrytiller.example/tiller/cli/tillerctl"
)

func main() { os.Exit(tillerctl.Main()) }
