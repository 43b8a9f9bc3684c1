package rig

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Call is one client attempt.
type Call struct {
	ID, Method, Host, Path, Key string
	Body                        string
	Budget                      time.Duration
}

// Outcome is what the client saw.
type Outcome struct {
	// Status is 0 if there was no complete answer.
	Status int
	Signed bool
	ID     string
	Body   string
	Err    error
	Took   time.Duration
	// Accepted reports whether the connection was established.
	Accepted bool
}

// Conn is a client's connection, which it may keep for further requests.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	// Done is set when the daemon closes the connection or announces it.
	Done bool
}

// Dial opens a client's connection. Clients allow one second for it.
func Dial(address string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, reader: bufio.NewReader(c)}, nil
}

// Do sends one attempt on the connection and reads the answer within the budget.
func (c *Conn) Do(call Call) Outcome {
	began := time.Now()
	o := Outcome{Accepted: true}
	_ = c.SetDeadline(began.Add(call.Budget))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", call.Method, call.Path, call.Host, HeaderAttempt, call.ID, HeaderDeadline, call.Budget.Milliseconds())
	if call.Key != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", HeaderKey, call.Key)
	}
	if call.Method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(call.Body))
	}
	b.WriteString("\r\n" + call.Body)
	_, err := io.WriteString(c, b.String())
	if err == nil {
		var resp *http.Response
		if resp, err = http.ReadResponse(c.reader, &http.Request{Method: call.Method}); err == nil {
			var body []byte
			if body, err = io.ReadAll(resp.Body); err == nil {
				o.Status, o.Body, o.ID = resp.StatusCode, string(body), resp.Header.Get(HeaderAttempt)
				o.Signed = resp.Header.Get(HeaderSigned) != ""
				c.Done = c.Done || resp.Close
			}
		}
	}
	if err != nil {
		o.Err, c.Done = err, true
	}
	o.Took = time.Since(began)
	return o
}

// Once sends one attempt on a new connection.
func Once(address string, call Call) Outcome {
	c, err := Dial(address)
	if err != nil {
		return Outcome{Err: err}
	}
	defer c.Close()
	return c.Do(call)
}

// String describes the outcome.
func (o Outcome) String() string {
	var netErr net.Error
	switch {
	case !o.Accepted:
		return fmt.Sprintf("no connection (%v)", o.Err)
	case o.Err != nil && errors.As(o.Err, &netErr) && netErr.Timeout():
		return "no answer within the time budget"
	case o.Err != nil:
		return fmt.Sprintf("connection ended without an answer (%v)", o.Err)
	}
	return fmt.Sprintf("%d, signed %v, after %d ms", o.Status, o.Signed, o.Took.Milliseconds())
}
