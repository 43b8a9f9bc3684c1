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

// limit is far longer than anything in a session takes.
const (
	limit  = time.Minute
	period = 20 * time.Millisecond
)

var update = flag.Bool("update", false, "write the output seen into the scripts")

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
			env.Values[processes{}] = &session{running: map[string]*process{}, masks: map[string]string{}}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"start": start, "end": end, "until": until, "mask": mask, "code": code,
		},
	})
}

// processes is the key of a script's session.
type processes struct{}

type session struct {
	running map[string]*process
	masks   map[string]string
}

type process struct {
	cmd    *exec.Cmd
	log    string
	exited chan struct{}
}

func sessionOf(ts *testscript.TestScript) *session { return ts.Value(processes{}).(*session) }

func start(ts *testscript.TestScript, _ bool, args []string) {
	name := args[0]
	log := ts.MkAbs(name + ".log")
	file, err := os.Create(log)
	ts.Check(err)
	defer file.Close()
	p := &process{cmd: newCommand(ts, args[1:]), log: log, exited: make(chan struct{})}
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
	setAddresses(ts, name, p)
}

// newCommand returns a command with the settings of the script.
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

func setAddresses(ts *testscript.TestScript, name string, p *process) {
	var line string
	wait(ts, name+" is ready", func() bool {
		line = readyLine.FindString(ts.ReadFile(p.log))
		return line != "" || ended(p)
	})
	if line == "" {
		ts.Fatalf("%s did not start:\n%s", name, ts.ReadFile(p.log))
	}
	for field := range strings.FieldsSeq(line) {
		key, value, _ := strings.Cut(field, "=")
		if _, err := netip.ParseAddrPort(value); err == nil {
			ts.Setenv(name+"_"+key, value)
			sessionOf(ts).masks[value] = name + "_" + key
		}
	}
}

func ended(p *process) bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

func end(ts *testscript.TestScript, _ bool, args []string) {
	p := sessionOf(ts).running[args[0]]
	ts.Check(p.cmd.Process.Signal(syscall.SIGTERM))
	wait(ts, args[0]+" ends", func() bool { return ended(p) })
	if got := strconv.Itoa(p.cmd.ProcessState.ExitCode()); got != args[1] {
		ts.Fatalf("%s ended with %s, want %s:\n%s", args[0], got, args[1], ts.ReadFile(p.log))
	}
}

func until(ts *testscript.TestScript, neg bool, args []string) {
	wait(ts, strings.Join(args, " "), func() bool { return (newCommand(ts, args).Run() != nil) == neg })
}

func code(ts *testscript.TestScript, _ bool, args []string) {
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

func wait(ts *testscript.TestScript, what string, holds func() bool) {
	for last := time.Now().Add(limit); time.Now().Before(last); time.Sleep(period) {
		if holds() {
			return
		}
	}
	ts.Fatalf("waited %v: %s", limit, what)
}

var changeID = regexp.MustCompile(`"change": "[A-Z0-9]+"`)

var requestID = regexp.MustCompile(`"request_id":"[A-Z0-9]+"`)

func mask(ts *testscript.TestScript, _ bool, args []string) {
	text := ts.ReadFile(args[0])
	masks := sessionOf(ts).masks
	for _, address := range slices.SortedFunc(maps.Keys(masks), func(a, b string) int { return len(b) - len(a) }) {
		text = strings.ReplaceAll(text, address, masks[address])
	}
	text = changeID.ReplaceAllString(text, `"change": "ID"`)
	text = requestID.ReplaceAllString(text, `"request_id":"ID"`)
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(text), 0o600))
}
