// Package cli is the command line of the small stand-ins that replace the
// platform, a backend server or a caller in tests and in the demo.
package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	tiller "bilberrytiller.example/tiller/coordination/platform"

	"bilberrytiller.example/standin/backend"
	"bilberrytiller.example/standin/caller"
	"bilberrytiller.example/standin/platform"
)

// Main runs the command line of the process and returns its exit code.
func Main() int {
	parser := flags.NewParser(nil, flags.Default)
	parser.Name = "standin"
	add(parser, "platform", "run a platform", &platformCommand{})
	add(parser, "backend", "run a backend server", &backendCommand{})
	add(parser, "caller", "send requests as a caller", &callerCommand{})
	add(parser, "hosts", "set the list of hosts of a platform", &hostsCommand{})
	add(parser, "put", "send a JSON body to a stand-in", &putCommand{})
	add(parser, "get", "print the answer of a stand-in", &getCommand{})
	add(parser, "request", "send one raw request", &requestCommand{})
	add(parser, "field", "run the gateway demo on an emulated platform", &fieldCommand{})
	if _, err := parser.Parse(); err != nil {
		return exitCode(err)
	}
	return 0
}

func exitCode(err error) int {
	var flagErr *flags.Error
	if errors.As(err, &flagErr) {
		if flagErr.Type == flags.ErrHelp {
			return 0
		}
		return 2
	}
	return 1
}

func add(parser *flags.Parser, name, short string, command any) {
	if _, err := parser.AddCommand(name, short, short, command); err != nil {
		panic(err) // Reached only if a struct tag in this file is invalid.
	}
}

type platformCommand struct {
	Listen string `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
	Faults string `long:"faults" default:"{}" description:"faults from the start, as JSON; see platform.Faults"`
}

// Execute runs the platform until the process receives a signal.
func (c *platformCommand) Execute([]string) error {
	var faults platform.Faults
	if err := json.Unmarshal([]byte(c.Faults), &faults); err != nil {
		return fmt.Errorf("--faults: %w", err)
	}
	server := platform.New()
	server.SetFaults(faults)
	return listenAndServe("platform", c.Listen, server)
}

type backendCommand struct {
	Listen    string        `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
	Slots     int           `long:"slots" default:"8" description:"requests that run at once"`
	Work      time.Duration `long:"work" default:"5ms" description:"time that a request takes"`
	ColdStart time.Duration `long:"cold-start" description:"time added while cold"`
	ColdFor   time.Duration `long:"cold-for" description:"how long the server is cold"`
	Faults    string        `long:"faults" default:"{}" description:"faults from the start, as JSON; see backend.Faults"`
}

// Execute runs the backend server until the process receives a signal.
func (c *backendCommand) Execute([]string) error {
	opts := backend.Options{Slots: c.Slots, Work: c.Work, ColdStart: c.ColdStart, ColdFor: c.ColdFor, Crash: func() { os.Exit(1) }}
	var faults backend.Faults
	if err := json.Unmarshal([]byte(c.Faults), &faults); err != nil {
		return fmt.Errorf("--faults: %w", err)
	}
	server := backend.New(opts)
	server.SetFaults(faults)
	return listenAndServe("backend", c.Listen, server)
}

type callerCommand struct {
	Entry   []string      `long:"entry" required:"true" description:"address of an entry host; may be repeated"`
	Service string        `long:"service" required:"true" description:"service to call"`
	Body    string        `long:"body" description:"body of each request; %d is its number"`
	Count   int           `long:"count" default:"1" description:"requests to send"`
	Timeout time.Duration `long:"timeout" default:"10s" description:"time for each request"`
}

// ErrNotDone reports that a request was not answered completely.
var ErrNotDone = errors.New("request was not done")

// Execute sends the requests one after the other and prints the result of
// each.
func (c *callerCommand) Execute([]string) error {
	client := caller.New(c.Entry)
	for n := range c.Count {
		body := strings.ReplaceAll(c.Body, "%d", fmt.Sprint(n))
		if err := c.sendOne(client, body); err != nil {
			return err
		}
	}
	return nil
}

func (c *callerCommand) sendOne(client *caller.Caller, body string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	r, err := client.Run(ctx, c.Service, "", []byte(body), nil)
	if err != nil {
		return err
	}
	fmt.Printf("outcome=%s reason=%s status=%d host=%s upstream=%s tries=%d body=%q\n",
		r.Outcome, r.Reason, r.Status, r.Host, r.Upstream, r.Attempts, r.Body)
	if r.Outcome != "done" || !strings.Contains(string(r.Body), body) {
		return ErrNotDone
	}
	return nil
}

type hostsCommand struct {
	Platform string   `long:"platform" required:"true" description:"base URL of the platform"`
	Host     []string `long:"host" description:"id,datacentre,region,peer,caller; may be repeated"`
}

// HostError reports a host that is not in the form
// id,datacentre,region,peer,caller.
type HostError struct{ Value string }

func (e *HostError) Error() string {
	return fmt.Sprintf("host %q: want id,datacentre,region,peer,caller", e.Value)
}

// Execute sends the list of hosts to the platform.
func (c *hostsCommand) Execute([]string) error {
	hosts := []tiller.Host{}
	for _, value := range c.Host {
		h, err := parseHost(value)
		if err != nil {
			return err
		}
		hosts = append(hosts, h)
	}
	body, err := json.Marshal(hosts)
	if err != nil {
		return fmt.Errorf("encode list of hosts: %w", err)
	}
	return put(c.Platform+platform.PathHosts, body)
}

func parseHost(value string) (tiller.Host, error) {
	parts := strings.Split(value, ",")
	if len(parts) != 5 {
		return tiller.Host{}, &HostError{Value: value}
	}
	peer, err := netip.ParseAddrPort(parts[3])
	if err != nil {
		return tiller.Host{}, fmt.Errorf("peer address of host %s: %w", parts[0], err)
	}
	callers, err := netip.ParseAddrPort(parts[4])
	if err != nil {
		return tiller.Host{}, fmt.Errorf("caller address of host %s: %w", parts[0], err)
	}
	return tiller.Host{ID: parts[0], DataCentre: parts[1], Region: parts[2], Peer: peer, Caller: callers, State: tiller.HostLive}, nil
}

type putCommand struct {
	URL  string `long:"url" required:"true" description:"where to send it"`
	Body string `long:"body" required:"true" description:"JSON to send"`
}

// Execute sends the body with PUT.
func (c *putCommand) Execute([]string) error { return put(c.URL, []byte(c.Body)) }

type getCommand struct {
	URL string `long:"url" required:"true" description:"what to get"`
}

// Execute prints the answer.
func (c *getCommand) Execute([]string) error {
	resp, err := http.Get(c.URL)
	if err != nil {
		return fmt.Errorf("get: %w", err)
	}
	defer resp.Body.Close()
	_, err = io.Copy(os.Stdout, resp.Body)
	return err
}

// StatusError is an unexpected status of a stand-in.
type StatusError struct{ Status int }

func (e StatusError) Error() string {
	return fmt.Sprintf("stand-in answered with status %d, want 200", e.Status)
}

func put(target string, body []byte) error {
	req, err := http.NewRequest(http.MethodPut, target, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("put: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("put: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return StatusError{Status: resp.StatusCode}
	}
	return nil
}

// listenAndServe prints the address that it listens on and serves until the
// process receives a signal.
func listenAndServe(name, addr string, handler http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	fmt.Printf("event=%s.ready address=%s\n", name, l.Addr())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	server := &http.Server{Handler: handler}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
