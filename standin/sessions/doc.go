// Package sessions replays whole sessions of operators and callers, each a
// script with its golden output under testdata, against real processes.
//
// Beside the commands of testscript, a script has these:
//
//	start NAME COMMAND...   start a process, wait until it is ready and set
//	                        NAME_KEY for each address on its ready line
//	end NAME CODE           ask a process to end, and check its exit code
//	code CODE COMMAND...    run a command and check its exit code
//	until COMMAND...        run a command until it succeeds
//	mask FILE OUT           copy a file with the addresses written as NAME_KEY
package sessions
