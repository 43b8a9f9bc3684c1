package sessions

import (
	"errors"
	"flag"
	"maps"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"bilberrytiller.example/standin/fleet"
)

// waitTimeout bounds each wait of a session. It is far longer than any step of
// a session takes.
const (
	waitTimeout  = time.Minute
	pollInterval = 20 * time.Millisecond
)

var update = flag.Bool("update", false, "write the actual output to the scripts")

func TestMain(m *testing.M) { fleet.Main(m) }

func TestSessions(t *testing.T) {
	examples, err := filepath.Abs("../../examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: *update,
		Setup: func(env *testscript.Env) error {
			env.Setenv("TILLER_SECRET", fleet.Secret)
			env.Setenv("EXAMPLES", examples)
			env.Values[sessionKey{}] = &session{running: map[string]*process{}, placeholders: map[string]string{}}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"start": cmdStart, "end": cmdEnd, "until": cmdUntil, "mask": cmdMask, "code": cmdCode,
		},
	})
}

// sessionKey is the key of the session in the environment of a script.
type sessionKey struct{}

// session holds the processes of a script by name, and the name that replaces
// each of their addresses in masked output.
type session struct {
	running      map[string]*process
	placeholders map[string]string
}

// process is a started command. exited is closed when it has exited.
type process struct {
	cmd     *exec.Cmd
	logPath string
	exited  chan struct{}
}

func sessionOf(ts *testscript.TestScript) *session { return ts.Value(sessionKey{}).(*session) }

// cmdStart implements start. The process is killed at the end of the script.
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	name := args[0]
	logPath := ts.MkAbs(name + ".log")
	file, err := os.Create(logPath)
	ts.Check(err)
	defer file.Close()
	p := &process{cmd: newCommand(ts, args[1:]), logPath: logPath, exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = file, file
	ts.Check(p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	ts.Defer(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
	})
	sessionOf(ts).running[name] = p
	exportAddresses(ts, name, p)
}

// newCommand returns a command whose environment has only PATH and those of
// TILLER_SECRET, TILLER_PLATFORM and TILLER_DAEMONS that are set in the script.
func newCommand(ts *testscript.TestScript, args []string) *exec.Cmd {
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Dir = ts.MkAbs(".")
	cmd.Env = []string{"PATH=" + ts.Getenv("PATH")}
	for _, variable := range []string{"TILLER_SECRET", "TILLER_PLATFORM", "TILLER_DAEMONS"} {
		if value := ts.Getenv(variable); value != "" {
			cmd.Env = append(cmd.Env, variable+"="+value)
		}
	}
	return cmd
}

var readyLine = regexp.MustCompile(`(?m)^.*event=[a-z]+\.ready.*$`)

// exportAddresses waits until a process logs that it is ready and sets a
// variable for each address in that log line.
func exportAddresses(ts *testscript.TestScript, name string, p *process) {
	var line string
	waitFor(ts, name+" is ready", func() bool {
		line = readyLine.FindString(ts.ReadFile(p.logPath))
		return line != "" || hasExited(p)
	})
	if line == "" {
		ts.Fatalf("%s exited before it was ready:\n%s", name, ts.ReadFile(p.logPath))
	}
	for field := range strings.FieldsSeq(line) {
		key, value, _ := strings.Cut(field, "=")
		if _, err := netip.ParseAddrPort(value); err == nil {
			ts.Setenv(name+"_"+key, value)
			sessionOf(ts).placeholders[value] = name + "_" + key
		}
	}
}

func hasExited(p *process) bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// cmdEnd implements end.
func cmdEnd(ts *testscript.TestScript, _ bool, args []string) {
	p := sessionOf(ts).running[args[0]]
	ts.Check(p.cmd.Process.Signal(syscall.SIGTERM))
	waitFor(ts, args[0]+" exits", func() bool { return hasExited(p) })
	if got := strconv.Itoa(p.cmd.ProcessState.ExitCode()); got != args[1] {
		ts.Fatalf("%s exited with %s, want %s:\n%s", args[0], got, args[1], ts.ReadFile(p.logPath))
	}
}

// cmdUntil implements until.
func cmdUntil(ts *testscript.TestScript, neg bool, args []string) {
	waitFor(ts, strings.Join(args, " "), func() bool { return (newCommand(ts, args).Run() != nil) == neg })
}

// cmdCode implements code.
func cmdCode(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	got := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		got = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if strconv.Itoa(got) != args[0] {
		ts.Fatalf("exit code %d, want %s", got, args[0])
	}
}

// waitFor polls a condition until it holds, and fails the script after
// waitTimeout.
func waitFor(ts *testscript.TestScript, description string, condition func() bool) {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	ts.Fatalf("timed out after %v waiting for: %s", waitTimeout, description)
}

var changeID = regexp.MustCompile(`"change": "[A-Z0-9]+"`)

var requestID = regexp.MustCompile(`"request_id":"[A-Z0-9]+"`)

// cmdMask implements mask. It replaces longer addresses first, because an
// address may be a prefix of another.
func cmdMask(ts *testscript.TestScript, _ bool, args []string) {
	text := ts.ReadFile(args[0])
	placeholders := sessionOf(ts).placeholders
	for _, address := range slices.SortedFunc(maps.Keys(placeholders), func(a, b string) int { return len(b) - len(a) }) {
		text = strings.ReplaceAll(text, address, placeholders[address])
	}
	text = changeID.ReplaceAllString(text, `"change": "ID"`)
	text = requestID.ReplaceAllString(text, `"request_id":"ID"`)
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(text), 0o600))
}
