package tillerctl

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

// maxLineBytes is the longest line of a log that is read.
const maxLineBytes = 1 << 20

// ErrRequestNotFound says that no line of a log is about a request.
var ErrRequestNotFound = errors.New("no line is about this request")

// causes says what an outcome of a request means, by the outcome's name in
// the log.
var causes = map[string]string{
	"crashes_servers":  "backend servers crashed on this request, see the lines request.crashed_server of its digest; nothing ran this time",
	"answered":         "a backend server answered; its status was given back unchanged",
	"no_configuration": "the daemon had just started and knew no configuration yet; nothing ran",
	"no_route":         "no route of the version in force has this host and path",
	"body_too_large":   "the body was longer than the configuration allows",
	"body_late":        "the body was not whole before the request's deadline; nothing ran",
	"body_unread":      "the client's body could not be read to its end",
	"no_server":        "no backend server of the service could be used: see the backend lines before it; nothing ran",
	"cold_limit":       "the backend servers were cold and had had their requests for the moment; nothing ran",
	"full":             "the queue of the object's backend server was longer than the request could wait; nothing ran",
	"may_have_run":     "a backend server got the request and its answer was lost: see the send line; it must not run again",
	"attempts_used":    "as many backend servers were asked as the route allows: see the send lines",
	"retry_budget":     "a repeat was due and the service's budget for repeats was used up",
	"timeout":          "no answer came within the route's timeout or the client's deadline",
	"client_gone":      "the client closed its connection before the answer",
}

type traceCommand struct {
	env  *env
	Args struct {
		Request string   `positional-arg-name:"REQUEST" required:"true"`
		Files   []string `positional-arg-name:"LOG"`
	} `positional-args:"true"`
}

// Execute prints the lines about a request, what the daemon had come to
// believe of its backend servers before, and the cause of its end.
func (c *traceCommand) Execute([]string) error {
	lines, err := c.read()
	if err != nil {
		return err
	}
	found := trace(lines, c.Args.Request)
	if len(found) == 0 {
		return fmt.Errorf("%s: %w", c.Args.Request, ErrRequestNotFound)
	}
	for _, line := range found {
		fmt.Fprintln(c.env.stdout, line)
	}
	fmt.Fprintln(c.env.stdout, "cause:", causeOf(found))
	return nil
}

// read returns the lines of all files, or of the standard input.
func (c *traceCommand) read() ([]string, error) {
	if len(c.Args.Files) == 0 {
		return readLines(c.env.stdin)
	}
	var all []string
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("trace: %w", err)
		}
		lines, err := readLines(f)
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("trace: %s: %w", name, err)
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLines(r io.Reader) ([]string, error) {
	var lines []string
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		lines = append(lines, scanner.Text())
	}
	return lines, scanner.Err()
}

// trace returns the lines about a request, and of each backend server that it
// was sent to the last line of the same host before them.
func trace(lines []string, id string) []string {
	var about []int
	servers := map[string]bool{}
	for i, line := range lines {
		if value(line, "id") == id {
			about = append(about, i)
			servers[value(line, "backend")] = true
		}
	}
	delete(servers, "")
	if len(about) == 0 {
		return nil
	}
	keep, host := about, value(lines[about[0]], "host")
	for i := about[0] - 1; i >= 0 && len(servers) > 0; i-- {
		server := value(lines[i], "backend")
		known := strings.HasPrefix(value(lines[i], "event"), "backend.") && value(lines[i], "host") == host
		if known && servers[server] {
			keep = append(keep, i)
			delete(servers, server)
		}
	}
	slices.Sort(keep)
	found := make([]string, 0, len(keep))
	for _, i := range keep {
		found = append(found, lines[i])
	}
	return found
}

// value returns the value of a key in a line of key=value pairs.
func value(line, key string) string {
	for _, field := range strings.Fields(line) {
		if v, ok := strings.CutPrefix(field, key+"="); ok {
			return v
		}
	}
	return ""
}

// causeOf explains the last line about a request.
func causeOf(lines []string) string {
	last := lines[len(lines)-1]
	for _, key := range []string{"outcome", "reason"} {
		if cause, ok := causes[value(last, key)]; ok {
			return cause
		}
	}
	return "the request has no end in this log; it was cut with its daemon, or is still running"
}
