package upstreamhttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"bilberrytiller.example/tiller/coordination/upstream"
)

const (
	// MaxAnswerBytes is the largest answer that is taken.
	MaxAnswerBytes = 32 << 20
	// maxStrays is how many answers to earlier requests are passed over.
	maxStrays = 4
	// syncWriteBytes is the largest request that is written before its answer
	// is read. A longer one is written beside, since a server may answer
	// before it has read it. It is under the least send buffer.
	syncWriteBytes = 2 << 10
	// readBufferBytes holds a usual answer's head.
	readBufferBytes = 2 << 10
)

// Errors of an exchange after which the request may have run.
var (
	// ErrUnmatchedAnswer says that only answers to other requests came.
	ErrUnmatchedAnswer = errors.New("answers belong to other requests")
	// ErrTooLarge says that an answer is over MaxAnswerBytes.
	ErrTooLarge = errors.New("answer is too large")
	// ErrEncoded says that an answer's body is not the server's own bytes.
	ErrEncoded = errors.New("answer has a content encoding")
	// ErrUnsigned says that a success carries no mark of a server.
	ErrUnsigned = errors.New("success has no signature")
)

// conn is a connection to a backend server that carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleSince and idleLimit say how long the connection may be kept.
	idleSince time.Time
	idleLimit time.Duration
	// writing is done when the request is written whole.
	writing chan error
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferBytes), idleLimit: defaultIdle}
}

// alive reports whether an idle connection is open and has nothing to read.
// Bytes that come without a request belong to none.
func (c *conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, readErr := syscall.Read(int(fd), b[:])
		quiet = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// exchange sends a request and reads its answer. keep reports whether the
// connection may carry another request.
func (c *conn) exchange(ctx context.Context, n HeaderNames, r *Request) (answer *Answer, keep bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	if err := c.send(n, r); err != nil {
		return nil, false, err
	}
	resp, err := c.readOwn(n, r)
	if err != nil {
		return nil, false, err
	}
	answer, err = readAnswer(n, resp)
	if err != nil {
		return nil, false, err
	}
	if !c.written() || resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return answer, false, nil
	}
	c.idleLimit = idleLimitOf(resp.Header)
	return answer, c.reader.Buffered() == 0 && ctx.Err() == nil, nil
}

func (c *conn) send(n HeaderNames, r *Request) error {
	buffer := n.appendRequest(make([]byte, 0, 1024+len(r.Body)), r, time.Now())
	c.writing = nil
	if len(buffer) <= syncWriteBytes {
		_, err := c.Write(buffer)
		return err
	}
	writing := make(chan error, 1)
	c.writing = writing
	go func() {
		_, err := c.Write(buffer)
		writing <- err
	}()
	return nil
}

// written reports whether the request has been written whole.
func (c *conn) written() bool {
	if c.writing == nil {
		return true
	}
	select {
	case err := <-c.writing:
		return err == nil
	default:
		return false
	}
}

// readOwn returns the answer to the request, passing over late answers to
// earlier ones.
func (c *conn) readOwn(n HeaderNames, r *Request) (*http.Response, error) {
	for range maxStrays {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if own(n, r, resp) {
			return resp, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, MaxAnswerBytes)); err != nil {
			return nil, fmt.Errorf("pass over answer: %w", err)
		}
	}
	return nil, ErrUnmatchedAnswer
}

// own reports whether an answer belongs to the request. Refusals of a server
// that did not read the request may lack the identity.
func own(n HeaderNames, r *Request, resp *http.Response) bool {
	id := resp.Header.Get(n.AttemptID)
	if id != "" {
		return id == r.ID
	}
	return resp.StatusCode == http.StatusMisdirectedRequest || resp.Header.Get(n.NotExecuted) != ""
}

func readAnswer(n HeaderNames, resp *http.Response) (*Answer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if len(body) > MaxAnswerBytes {
		return nil, ErrTooLarge
	}
	h := resp.Header
	if h.Get("Content-Encoding") != "" {
		return nil, ErrEncoded
	}
	a := &Answer{
		Status:      resp.StatusCode,
		Header:      h,
		Body:        body,
		Misdirected: resp.StatusCode == http.StatusMisdirectedRequest,
		Signed:      h.Get(n.Signature) != "",
	}
	a.readLoad(n)
	a.readCold(n)
	a.NotRun = a.Misdirected || h.Get(n.NotExecuted) != ""
	if a.Status/100 == 2 && !a.Signed {
		return nil, ErrUnsigned
	}
	return a, nil
}

// idleLimitOf returns how long a connection may be idle by a Keep-Alive
// header.
func idleLimitOf(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
				return max(minIdle, time.Duration(seconds)*time.Second-idleMargin)
			}
		}
	}
	return defaultIdle
}

// outcomeOf names what an answer tells of its server.
func (a *Answer) outcome() upstream.Outcome {
	switch {
	case a.Misdirected:
		return upstream.Misdirected
	case a.NotRun:
		return upstream.Shed
	case a.Status >= 500:
		return upstream.Failed
	}
	return upstream.Answered
}
