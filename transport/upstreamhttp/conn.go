package upstreamhttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"bilberrytiller.example/tiller/coordination/upstream"
	"bilberrytiller.example/tiller/internal/httpstatus"
)

const (
	// maxUnmatchedAnswers limits the answers that are read in search of the one that
	// carries the request's ID.
	maxUnmatchedAnswers = 4
	// maxSyncWriteBytes is the largest request that is written before the answer
	// is read. A larger one is written concurrently, since a server may answer
	// before it has read the whole request. The value is below the smallest
	// socket send buffer, so that the write does not block.
	maxSyncWriteBytes = 2 << 10
	// maxFirstWriteBytes limits what is written in one call with the head of a request.
	maxFirstWriteBytes = 32 << 10
	// maxRejectedIDs is how many requests a connection may carry that were not run.
	maxRejectedIDs = 64
	// readBufferSize holds the header of a typical answer.
	readBufferSize = 2 << 10
)

// Errors after which the request may have run.
var (
	// ErrUnmatchedAnswer means that no answer is provably the one to the request.
	ErrUnmatchedAnswer = errors.New("none of the answers carries the request's ID")
	// ErrEncoded means that the body of an answer was encoded, so its bytes are
	// not those that the server produced.
	ErrEncoded = errors.New("answer has a Content-Encoding header")
	// ErrNoLength means that an answer has a body whose end is that of the connection, so
	// that a part of it cannot be told from all of it.
	ErrNoLength = errors.New("answer has neither Content-Length nor chunks")
	// ErrUnsigned means that a 2xx answer lacks the signature of a server.
	ErrUnsigned = errors.New("2xx answer has no server signature header")
)

// conn is a connection to a backend server. It carries one request at a time.
type conn struct {
	net.Conn
	head   headLimiter
	reader *bufio.Reader
	// onClose is called once, when the connection is closed.
	onClose   func()
	closeOnce sync.Once
	// bodyMemory is shared by all connections of a client.
	bodyMemory BodyMemory
	// The connection may be reused until idleTimeout after idleSince.
	idleSince   time.Time
	idleTimeout time.Duration
	// rejected holds hashes of the IDs of the requests that the connection carried and
	// that were not run. A second copy of such an answer may still arrive. An ID may be as
	// long as a header.
	rejected []uint64
	// carried is the number of requests that were sent on the connection.
	carried int
	// writeDone receives the result of a concurrent write of the request. It is
	// nil if the request was written before the answer was read.
	writeDone chan error
}

// Close closes the connection.
func (c *conn) Close() error {
	c.closeOnce.Do(c.onClose)
	return c.Conn.Close()
}

// alive reports whether an idle connection is open and has no unread data.
// Data that arrives while no request is in flight belongs to no request.
func (c *conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, readErr := syscall.Read(int(fd), b[:])
		noData = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && noData
}

// exchange sends a request and reads its answer. keep reports whether the
// connection can be reused.
func (c *conn) exchange(ctx context.Context, n HeaderNames, r *Request) (answer *Answer, keep bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	c.carried++
	if err := c.send(n, r); err != nil {
		return nil, false, err
	}
	resp, err := c.readMatchingAnswer(n, r)
	if err != nil {
		return nil, false, err
	}
	answer, err = readAnswer(n, resp, c.bodyMemory)
	if err != nil {
		return nil, false, err
	}
	if c.isOwn(n, r, resp) {
		answer.parseSignal(n)
	}
	if !c.requestWritten() || resp.Close || !hasLength(resp) {
		return answer, false, nil
	}
	c.idleTimeout = parseIdleTimeout(resp.Header)
	keep = c.reader.Buffered() == 0 && ctx.Err() == nil
	if answer.NotRun {
		keep = c.rememberRejection(n, r, resp) && keep
	}
	return answer, keep, nil
}

// rememberRejection records that the connection carried a request that was not run,
// and reports whether it may carry others. After an answer without an ID it may not,
// since a late second copy would be taken for the answer to any of them.
func (c *conn) rememberRejection(n HeaderNames, r *Request, resp *http.Response) bool {
	c.rejected = append(c.rejected, hashID(r.ID))
	return resp.Header.Get(n.AttemptID) != "" && len(c.rejected) < maxRejectedIDs
}

// mayCarry reports whether an answer that carries the ID of a request would be the
// answer to it. A request that the connection has carried and that was not run may be
// sent again; a late second copy of the first answer would say that it was not run.
func (c *conn) mayCarry(r *Request) bool { return !slices.Contains(c.rejected, hashID(r.ID)) }

var idSeed = maphash.MakeSeed()

func hashID(id string) uint64 { return maphash.String(idSeed, id) }

func (c *conn) send(n HeaderNames, r *Request) error {
	first, rest := n.firstWrite(r, time.Now())
	c.writeDone = nil
	if len(rest) == 0 && len(first) <= maxSyncWriteBytes {
		_, err := c.Write(first)
		return err
	}
	done := make(chan error, 1)
	c.writeDone = done
	go func() { done <- c.writeAll(first, rest) }()
	return nil
}

// firstWrite returns the head of a request with the pieces of its body that are written
// together with it, and the other pieces. Those are written from where they are, since a
// copy of a large body would double its memory.
func (n HeaderNames) firstWrite(r *Request, now time.Time) (first []byte, rest [][]byte) {
	first = n.appendHead(make([]byte, 0, 1024+min(maxFirstWriteBytes, r.bodyBytes())), r, now)
	rest = r.Body
	for len(rest) > 0 && len(first)+len(rest[0]) <= maxFirstWriteBytes {
		first = append(first, rest[0]...)
		rest = rest[1:]
	}
	return first, rest
}

func (c *conn) writeAll(first []byte, rest [][]byte) error {
	if _, err := c.Write(first); err != nil {
		return err
	}
	for _, piece := range rest {
		if _, err := c.Write(piece); err != nil {
			return err
		}
	}
	return nil
}

// requestWritten reports whether the request has been written completely.
func (c *conn) requestWritten() bool {
	if c.writeDone == nil {
		return true
	}
	select {
	case err := <-c.writeDone:
		return err == nil
	default:
		return false
	}
}

// readMatchingAnswer returns the answer to the request. It discards late answers
// to earlier requests.
func (c *conn) readMatchingAnswer(n HeaderNames, r *Request) (*http.Response, error) {
	for range maxUnmatchedAnswers {
		resp, err := c.readFinalAnswer(r)
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		isMatch, err := c.matches(n, r, resp)
		if err != nil {
			return nil, err
		}
		if isMatch {
			return resp, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, MaxAnswerBytes)); err != nil {
			return nil, fmt.Errorf("discard answer to another request: %w", err)
		}
	}
	return nil, ErrUnmatchedAnswer
}

// readFinalAnswer returns the next answer, without its body. The interim answers before it
// share the limit of its head.
func (c *conn) readFinalAnswer(r *Request) (*http.Response, error) {
	c.head.begin()
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err == nil {
			err = httpstatus.Check(resp)
		}
		if err == nil && httpstatus.IsInterim(resp) {
			continue
		}
		return resp, c.head.end(err)
	}
}

// matches reports whether an answer belongs to the request. An answer without an
// ID is accepted if it says that the request was not run: a server may refuse a
// request that it has not read. On a connection that has carried other requests it may be
// an earlier refusal, sent once more, and the error is ErrUnmatchedAnswer.
func (c *conn) matches(n HeaderNames, r *Request, resp *http.Response) (bool, error) {
	if id := resp.Header.Get(n.AttemptID); id != "" {
		return id == r.ID, nil
	}
	if resp.StatusCode != http.StatusMisdirectedRequest && resp.Header.Get(n.NotExecuted) == "" {
		return false, nil
	}
	if c.carried > 1 && r.ID != "" {
		return false, fmt.Errorf("%w: a refusal without an ID on a connection in use", ErrUnmatchedAnswer)
	}
	return true, nil
}

func readAnswer(n HeaderNames, resp *http.Response, bodyMemory BodyMemory) (*Answer, error) {
	h := resp.Header
	misdirected := resp.StatusCode == http.StatusMisdirectedRequest
	notRun := misdirected || h.Get(n.NotExecuted) != ""
	if !notRun && !hasLength(resp) {
		return nil, ErrNoLength
	}
	body, err := readBody(resp.Body, bodyMemory)
	if err != nil {
		return nil, err
	}
	if h.Get("Content-Encoding") != "" {
		return nil, ErrEncoded
	}
	a := &Answer{
		Status:      resp.StatusCode,
		Header:      h,
		Body:        body,
		NotRun:      notRun,
		Misdirected: misdirected,
		Signed:      h.Get(n.Signature) != "",
	}
	a.parseLoad(n)
	a.parseColdLeft(n)
	a.parseRateLimit(n)
	if a.Status/100 == 2 && !a.Signed {
		return nil, ErrUnsigned
	}
	return a, nil
}

// hasLength reports whether an answer without all of its body can be told from a complete
// one.
func hasLength(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}

// parseIdleTimeout returns the idle timeout of a connection from the timeout
// parameter of a Keep-Alive header.
func parseIdleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
				return max(minIdleTimeout, time.Duration(seconds)*time.Second-idleTimeoutMargin)
			}
		}
	}
	return defaultIdleTimeout
}

// outcome classifies an answer for the balancer's view of the server.
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
