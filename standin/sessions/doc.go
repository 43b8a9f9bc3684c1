// Package sessions runs scripted sessions of operators and callers against
// real processes. Each script is in testdata, together with the output that it
// expects.
//
// Scripts can use these commands in addition to those of testscript:
//
//	start NAME COMMAND...   start a process, wait until it logs that it is
//	                        ready and set the variable NAME_KEY for each
//	                        address in that log line
//	end NAME CODE           send SIGTERM to a process and check its exit code
//	code CODE COMMAND...    run a command and check its exit code
//	until COMMAND...        run a command repeatedly until it succeeds, or
//	                        with "! until" until it fails
//	mask FILE OUT           copy a file with each address replaced by NAME_KEY
//	                        and the IDs of changes and requests by ID
package sessions
