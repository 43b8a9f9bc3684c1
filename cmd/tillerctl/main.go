// Command tillerctl changes catalogue entries and shows what daemons do.
package main

import (
	"os"

	"bilberrytiller.example/tiller/cli/tillerctl"
)

func main() { os.Exit(tillerctl.Main()) }
