// Command tillerd runs the daemon of one entry host.
package main

import (
	"os"

	"bilberrytiller.example/tiller/cli/tillerd"
)

func main() { os.Exit(tillerd.Main()) }
