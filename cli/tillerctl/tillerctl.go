// Package tillerctl implements the command line for operators. It changes
// catalogue entries in the platform and queries the state of daemons.
package tillerctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/internal/version"
	"bilberrytiller.example/tiller/transport/operatorhttp"
	"bilberrytiller.example/tiller/transport/platformhttp"
)

const longDescription = `tillerctl changes catalogue entries in the platform and shows the state of daemons. An entry is named KIND.NAME, such as upstream.stock-1; kinds are region, datacentre, link, service, upstream, host and blocks.

Each write is conditional on the version that was read. On a conflict nothing is written, and both versions are shown field by field.

Exit codes:
  0  done
  1  failed: the platform or a daemon gave no usable answer
  2  invalid command line or setting
  3  conflict: the entry was changed by someone else
  4  no such entry
  5  invalid entry, or entries that contradict each other
  6  unknown: the answer to a write was lost and its outcome is not known
  7  timed out
  8  differences were found (diff)

Example:
  tillerctl --platform http://10.0.0.9:7000 apply -f catalogue.json`

// options are the settings common to all commands.
type options struct {
	Connection struct {
		Platform   string   `long:"platform" env:"TILLER_PLATFORM" value-name:"URL" description:"base URL of the platform's object API"`
		Daemons    []string `long:"daemon" env:"TILLER_DAEMONS" env-delim:"," value-name:"IP:PORT" description:"address of a daemon's operator listener; may be repeated"`
		Secret     string   `long:"secret" env:"TILLER_SECRET" value-name:"SECRET" default-mask:"-" description:"secret shared with the daemons; prefer the environment variable"`
		SecretFile string   `long:"secret-file" env:"TILLER_SECRET_FILE" value-name:"PATH" description:"file that holds the secret, used if --secret is not set"`
	} `group:"Connection"`
	Print struct {
		Output  string `long:"output" short:"o" default:"table" choice:"table" choice:"json" description:"output format"`
		Version bool   `long:"version" description:"print the version and exit"`
	} `group:"Output"`
}

// env holds the dependencies of the commands.
type env struct {
	ctx    context.Context
	opts   *options
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
	// resolveTimeout limits the attempts to determine the outcome of a write.
	resolveTimeout time.Duration
}

func (e *env) json() bool { return e.opts.Print.Output == "json" }

func (e *env) platform() (platform.Client, error) {
	if e.opts.Connection.Platform == "" {
		return nil, &MissingSettingError{Flag: "platform", Env: "TILLER_PLATFORM"}
	}
	return platformhttp.New(e.opts.Connection.Platform), nil
}

// readSecret reads the secret from --secret-file, unless --secret is set.
func (e *env) readSecret() error {
	c := &e.opts.Connection
	if c.SecretFile == "" || c.Secret != "" {
		return nil
	}
	data, err := os.ReadFile(c.SecretFile)
	if err != nil {
		return &UsageError{Problem: fmt.Sprintf("--secret-file (TILLER_SECRET_FILE) = %q: %v", c.SecretFile, err)}
	}
	c.Secret = strings.TrimSpace(string(data))
	return nil
}

// daemons returns a client of each daemon given by --daemon.
func (e *env) daemons() []*operatorhttp.Client {
	var out []*operatorhttp.Client
	for _, address := range e.opts.Connection.Daemons {
		out = append(out, operatorhttp.New(address, e.opts.Connection.Secret))
	}
	return out
}

// requireDaemons returns the clients of daemons, or an error if no daemon or no
// secret is set.
func (e *env) requireDaemons() ([]*operatorhttp.Client, error) {
	if len(e.opts.Connection.Daemons) == 0 {
		return nil, &MissingSettingError{Flag: "daemon", Env: "TILLER_DAEMONS"}
	}
	if e.opts.Connection.Secret == "" {
		return nil, &MissingSettingError{Flag: "secret", Env: "TILLER_SECRET"}
	}
	return e.daemons(), nil
}

// MissingSettingError means that a setting that a command requires is not set.
type MissingSettingError struct{ Flag, Env string }

func (e *MissingSettingError) Error() string {
	return fmt.Sprintf("--%s (%s) is not set", e.Flag, e.Env)
}

// UsageError describes an error in the command line.
type UsageError struct{ Problem string }

func (e *UsageError) Error() string { return e.Problem + "; see tillerctl --help" }

// Main runs tillerctl with the arguments of the process and returns the exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	e := &env{ctx: ctx, opts: &options{}, stdin: os.Stdin, stdout: os.Stdout, stderr: os.Stderr, resolveTimeout: resolveTimeout}
	return e.run(os.Args[1:])
}

func (e *env) run(args []string) int {
	parser := flags.NewParser(e.opts, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "tillerctl"
	parser.LongDescription = longDescription
	parser.SubcommandsOptional = true
	parser.CommandHandler = e.runCommand
	for _, c := range e.commands() {
		long := c.long + "\n\nExample:\n  " + c.example
		if _, err := parser.AddCommand(c.name, c.short, long, c.run); err != nil {
			return e.reportError(err)
		}
	}
	_, err := parser.ParseArgs(args)
	return e.reportError(err)
}

// runCommand runs the command that the command line selects.
func (e *env) runCommand(command flags.Commander, rest []string) error {
	switch {
	case e.opts.Print.Version:
		fmt.Fprintln(e.stdout, "tillerctl", version.Version)
		return nil
	case command == nil:
		return &UsageError{Problem: "no command given"}
	case len(rest) > 0:
		return &UsageError{Problem: fmt.Sprintf("unexpected arguments %q", rest)}
	}
	if err := e.readSecret(); err != nil {
		return err
	}
	return command.Execute(nil)
}

// command is a command with its help texts.
type command struct {
	name, short, long, example string
	run                        flags.Commander
}

func (e *env) commands() []command {
	return []command{
		{"get", "print an entry", "Prints one entry; with -o json also its version, in a form that apply accepts.", "tillerctl get service.stock-lookup", &getCommand{env: e}},
		{"list", "list entries", "Lists all entries, or those of one kind.", "tillerctl list upstream", &listCommand{env: e}},
		{"apply", "create or change entries", "Checks all entries of a file, then writes those that differ, each at the version that was read. It stops at the first write that fails and says which were written.", "tillerctl apply -f catalogue.json", &applyCommand{env: e}},
		{"edit", "change fields of an entry", "Changes fields of one entry. A value is parsed as JSON, or else taken as text; null removes a field.", "tillerctl edit upstream.stock-1 slots=6 address=10.0.0.7:8080", &editCommand{env: e}},
		{"delete", "delete an entry", "Deletes one entry at the version that was read.", "tillerctl delete upstream.stock-1", &deleteCommand{env: e}},
		{"diff", "show what apply would change", "Compares the entries of a file with those in the platform. Exits with 8 if any differs.", "tillerctl diff -f catalogue.json", &diffCommand{env: e}},
		{"watch", "print changes as they happen", "Prints each change of an entry until it is interrupted, --count changes have arrived or --timeout has passed.", "tillerctl watch --count 1", &watchCommand{env: e}},
		{"status", "show the state of daemons", "Shows for each given daemon the catalogue version, the numbers of invalid entries and of members, and whether it is a relay or leaving.", "tillerctl --daemon 10.0.0.1:7402 status", &statusCommand{env: e}},
		{"explain", "show where callers are sent, and why", "Asks the first given daemon which entry hosts it would return to a caller of a service now, and which upstreams may run the request, each with the order and the reason.", "tillerctl --daemon 10.0.0.1:7402 explain stock-lookup 10.9.0.7", &explainCommand{env: e}},
		{"wait", "wait until a version is in force", "Waits until every given daemon has the platform's entries in force or, if a VERSION is given, at least that version. Progress is shown on a terminal.", "tillerctl --daemon 10.0.0.1:7402 wait --timeout 30s", &waitCommand{env: e}},
		{"drain", "take an upstream, host or data centre out of use", "Sets drain in one entry. Creates the entry of a host that has none.", "tillerctl drain upstream.stock-1", &drainCommand{env: e, drain: true}},
		{"undrain", "put an upstream, host or data centre back in use", "Unsets drain in one entry.", "tillerctl undrain upstream.stock-1", &drainCommand{env: e}},
		{"trace", "explain a request from logs", "Prints the log lines of one request, the last logged state of the backend servers that it was sent to, and the cause of its outcome. Reads standard input if no file is given.", "tillerctl trace 9c41d07be2a35f68 /var/log/tillerd.log", &traceCommand{env: e}},
		{"explain-request", "show where a request would go now, and why", "Asks a gateway of the operators' platform what it would do with a request, without sending it: the route, the organisation's rank and quota, the service, and the servers in the order in which they are considered, each with the reason why it may or may not get the request. Names of organisations are given, never their keys. Whether a request is refused because it crashes servers is not known without its body. IP:PORT is the last of the gateway's internal ports.", "tillerctl explain-request 10.0.0.1:7403 pay.example /charge --organisation shop --object 42", &explainRequestCommand{env: e}},
		{"gateway", "show quotas, queues and refusals of gateways", "Shows for each given gateway the era of the platform's store, its queue by rank, its refusals by reason and rank, and the part of all quotas that it issues; then each organisation's quota and requests at these gateways since they started. The address is the last of the gateway's internal ports.", "tillerctl gateway 10.0.0.1:7403 10.0.0.2:7403", &gatewayCommand{env: e}},
		{"metrics", "print the metrics of daemons", "Prints the metrics of each given daemon, by name.", "tillerctl --daemon 10.0.0.1:7402 metrics", &metricsCommand{env: e}},
	}
}
