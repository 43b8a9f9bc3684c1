// Command standin runs the small stand-ins of tests and the demo.
package main

import (
	"os"

	"bilberrytiller.example/standin/cli"
)

func main() { os.Exit(cli.Main()) }
