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

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// ErrRequestNotFound means that no log line has the ID of the request.
var ErrRequestNotFound = errors.New("no log line has this ID")

// causes explains the outcomes and refusal reasons of requests, by their names in
// the log.
var causes = map[string]string{
	"crashes_servers":   "backend servers crashed on this request: see the request.crashed_server lines with its digest; it was not run this time",
	"answered":          "a backend server answered; its status was returned unchanged",
	"no_configuration":  "the daemon had just started and had no configuration yet; the request was not run",
	"stopping":          "the daemon was stopping and might have cut the request off; the request was not run, and other daemons serve it",
	"configuration_old": "the daemon's configuration did not allow the request, but was so old that a later one may; the request was not run",
	"unknown_key":       "the request carried no key of an organisation, or several Authorization headers; it was not run",
	"quota":             "the daemon got no unit of the organisation's quota: see the quota.limited lines; the request was not run",
	"memory":            "the daemon had no memory for the request's body or header: see the metric memory; the request was not run",
	"server_memory":     "the backend servers held as many bytes of bodies as they may after one of them crashed; the request was not run",
	"yields":            "the room that was left at the server was kept for requests that callers lose more by; the request was not run",
	"too_late":          "no answer was expected before the request's deadline; the request was not run",
	"no_route":          "no route of the configuration in force matches this host and path",
	"body_too_large":    "the body is larger than the configuration allows",
	"body_late":         "the body did not arrive completely before the request's deadline; the request was not run",
	"body_unread":       "the body could not be read from the client completely",
	"no_server":         "no backend server of the service was usable: see the backend lines before it; the request was not run",
	"rate_limit":        "the backend servers named limits of which this daemon had used its share; the request was not run",
	"paused":            "all backend servers that might be used had asked for a pause: see the backend.paused lines; the request was not run",
	"leaving":           "all backend servers that might be used leave: see the backend.leaving and backend.entry lines; the request was not run",
	"cold_limit":        "the backend servers were cold and had reached their request limit; the request was not run",
	"full":              "the queue of the object's backend server was longer than the request could wait; the request was not run",
	"may_have_run":      "a backend server received the request and its answer was lost: see the send line; the request must not run again",
	"attempts_used":     "the request used all attempts that its route allows: see the send lines",
	"retry_budget":      "a retry was needed, but the service's retry budget was exhausted",
	"timeout":           "no answer arrived within the route's timeout or the client's deadline",
	"client_gone":       "the client closed its connection before it was answered",
}

type traceCommand struct {
	env  *env
	Args struct {
		Request string   `positional-arg-name:"REQUEST" required:"true"`
		Files   []string `positional-arg-name:"LOG"`
	} `positional-args:"true"`
}

// Execute prints the log lines of a request, the last state that the daemon had
// logged of its backend servers before, and the cause of its outcome.
func (c *traceCommand) Execute([]string) error {
	lines, err := c.read()
	if err != nil {
		return err
	}
	found := selectLines(lines, c.Args.Request)
	if len(found) == 0 {
		return fmt.Errorf("request %s: %w", c.Args.Request, ErrRequestNotFound)
	}
	for _, line := range found {
		fmt.Fprintln(c.env.stdout, line)
	}
	fmt.Fprintln(c.env.stdout, "cause:", explainOutcome(found))
	return nil
}

// read returns the lines of all files, or of standard input if none is given.
func (c *traceCommand) read() ([]string, error) {
	if len(c.Args.Files) == 0 {
		return readLines(c.env.stdin)
	}
	var all []string
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
		lines, err := readLines(f)
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("read log %s: %w", name, err)
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

// selectLines returns the log lines of a request in order. For each backend server
// that the request was sent to, it includes the latest earlier backend line of the
// same host.
func selectLines(lines []string, id string) []string {
	var matching []int
	servers := map[string]bool{}
	for i, line := range lines {
		if logValue(line, "id") == id {
			matching = append(matching, i)
			servers[logValue(line, "backend")] = true
		}
	}
	delete(servers, "")
	if len(matching) == 0 {
		return nil
	}
	selected, host := matching, logValue(lines[matching[0]], "host")
	for i := matching[0] - 1; i >= 0 && len(servers) > 0; i-- {
		server := logValue(lines[i], "backend")
		isState := strings.HasPrefix(logValue(lines[i], "event"), "backend.") && logValue(lines[i], "host") == host
		if isState && servers[server] {
			selected = append(selected, i)
			delete(servers, server)
		}
	}
	slices.Sort(selected)
	found := make([]string, 0, len(selected))
	for _, i := range selected {
		found = append(found, lines[i])
	}
	return found
}

// logValue returns the value of a key in a line of key=value pairs, or "".
func logValue(line, key string) string {
	for _, field := range strings.Fields(line) {
		if v, ok := strings.CutPrefix(field, key+"="); ok {
			return v
		}
	}
	return ""
}

// explainOutcome explains the last log line of a request.
func explainOutcome(lines []string) string {
	last := lines[len(lines)-1]
	for _, key := range []string{"outcome", "reason"} {
		if cause, ok := causes[logValue(last, key)]; ok {
			return cause
		}
	}
	return "the log does not contain the end of the request; it was cut off by the stop of its daemon, or is still running"
}
