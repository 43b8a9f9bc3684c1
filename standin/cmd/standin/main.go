// Command standin runs the stand-ins used by tests and the demo.
package main

import (
	"os"

	"bilberrytiller.example/standin/cli"
)

func main() { os.Exit(cli.Main()) }
