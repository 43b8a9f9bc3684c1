package rig

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// start is the zero of the times in the record.
var start = time.Now()

var (
	recordMu sync.Mutex
	record   *os.File
	cleanups []func()
	exitOnce sync.Mutex
)

// Trouble reports whether the disruption is to be played.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Begin opens the record of a case, in the folder that the first argument names,
// and bounds the run.
func Begin(limit time.Duration) {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: case FOLDER")
		os.Exit(exitCannotRun)
	}
	var err error
	record, err = os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { CannotRun("ended by signal %v", <-signals) }()
	time.AfterFunc(limit, func() { CannotRun("the run took longer than %s", limit) })
	Log("disruption played: %v", Trouble())
}

// Log writes one line to the record.
func Log(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	if record != nil {
		fmt.Fprintf(record, "%9.3f  %s\n", time.Since(start).Seconds(), fmt.Sprintf(format, args...))
	}
}

// AtExit registers a function that is called before the program ends.
func AtExit(f func()) {
	recordMu.Lock()
	defer recordMu.Unlock()
	cleanups = append(cleanups, f)
}

func exit(code int) {
	exitOnce.Lock() // never released: the first caller ends the program
	recordMu.Lock()
	all := cleanups
	recordMu.Unlock()
	for i := len(all) - 1; i >= 0; i-- {
		all[i]()
	}
	os.Exit(code)
}

// CannotRun ends the case because it could not be played.
func CannotRun(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	Log("the case could not run: %s", text)
	fmt.Println("could not run:", text)
	exit(exitCannotRun)
}

// Verdict ends the case.
func Verdict(broken bool, format string, args ...any) {
	text, word, code := fmt.Sprintf(format, args...), "the rule held", exitHeld
	if broken {
		word, code = "the rule was broken", exitBroken
	}
	Log("%s: %s", word, text)
	fmt.Printf("%s: %s\n", word, text)
	exit(code)
}
