package cli

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
)

type requestCommand struct {
	Method string   `long:"method" default:"POST" description:"method of the request"`
	URL    string   `long:"url" required:"true" description:"where to send it"`
	Header []string `long:"header" description:"NAME=VALUE; may be repeated"`
	Body   string   `long:"body" description:"body of the request"`
	Bytes  int      `long:"bytes" description:"send a body of this many bytes instead"`
	Status int      `long:"status" default:"200" description:"status that is expected"`
}

// ErrStatus reports that an answer does not have the expected status.
var ErrStatus = errors.New("unexpected status")

// Execute sends the request and prints the status, the outcome and the body of
// the answer.
func (c *requestCommand) Execute([]string) error {
	body := []byte(c.Body)
	if c.Bytes > 0 {
		body = bytes.Repeat([]byte("x"), c.Bytes)
	}
	req, err := http.NewRequest(c.Method, c.URL, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("request: %w", err)
	}
	for _, header := range c.Header {
		name, value, _ := strings.Cut(header, "=")
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("request: %w", err)
	}
	defer resp.Body.Close()
	fmt.Printf("status=%d outcome=%s reason=%s\n", resp.StatusCode, resp.Header.Get("Tiller-Outcome"), resp.Header.Get("Tiller-Reason"))
	if _, err := io.Copy(os.Stdout, resp.Body); err != nil {
		return fmt.Errorf("request: %w", err)
	}
	if resp.StatusCode != c.Status {
		return fmt.Errorf("got status %d, want %d: %w", resp.StatusCode, c.Status, ErrStatus)
	}
	return nil
}
