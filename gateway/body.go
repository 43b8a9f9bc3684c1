package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"bilberrytiller.example/tiller/coordination/connlimit"
	"bilberrytiller.example/tiller/coordination/memory"
	"bilberrytiller.example/tiller/internal/httpstop"
)

const (
	// minBodyPiece and maxBodyPiece bound the pieces in which a body is kept. They grow
	// with the body, so that a small one takes little and a large one few.
	minBodyPiece = 4 << 10
	maxBodyPiece = 64 << 10
	// unreadBodyTimeout is how long the rest of the body of a refused request is read, so
	// that the client gets the refusal instead of a reset.
	unreadBodyTimeout = 500 * time.Millisecond
	// memoryRetryAfter is the Retry-After of requests for which there is no memory.
	memoryRetryAfter = 250 * time.Millisecond
	// headerFieldBytes is what is counted for each header field beyond memory.FreeHeadFields:
	// the parsed field, its copies for a server, and garbage that is not collected yet.
	headerFieldBytes = 1 << 10
)

// body is the body of a request, in pieces.
type body struct {
	pieces [][]byte
	holder *memory.Holder
}

// size returns the number of bytes that were read.
func (b *body) size() int {
	size := 0
	for _, piece := range b.pieces {
		size += len(piece)
	}
	return size
}

func (b *body) release() {
	b.pieces = nil
	if b.holder != nil {
		b.holder.Release()
	}
}

// readBody reads a request body, which must arrive completely before the deadline. The
// error wraps *http.MaxBytesError for a body above limit bytes, os.ErrDeadlineExceeded for
// one that is late or stood still while others needed its memory, and memory.ErrShortage if
// there is none for it. The caller releases the body, also after an error.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (body, error) {
	var b body
	if r.Body == nil || r.Body == http.NoBody {
		return b, nil
	}
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength > limit {
		return b, fmt.Errorf("read body: %w", &http.MaxBytesError{Limit: limit})
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(deadline); err != nil {
		return b, fmt.Errorf("set body read deadline: %w", err)
	}
	b.holder = g.memory.Hold(time.Now(), func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) })
	if err := b.readAll(r, http.MaxBytesReader(w, r.Body, limit)); err != nil {
		return b, fmt.Errorf("read body: %w", err)
	}
	b.holder.Keep()
	if !httpstop.Enter(r.Context(), connlimit.Serving) {
		return b, fmt.Errorf("read body: %w", os.ErrDeadlineExceeded)
	}
	// Clearing the read deadline keeps the server reading from the connection, so
	// that it detects when the client disconnects.
	return b, controller.SetReadDeadline(time.Time{})
}

func (b *body) readAll(r *http.Request, source io.Reader) error {
	left := r.ContentLength
	for size := int64(minBodyPiece); ; size = min(4*size, maxBodyPiece) {
		if left >= 0 {
			size = min(size, max(1, left))
		}
		if err := b.holder.Grow(size, time.Now()); err != nil {
			return err
		}
		piece, err := b.fill(r, source, make([]byte, size))
		b.pieces = append(b.pieces, piece)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if left >= 0 {
			left -= int64(len(piece))
		}
	}
}

// fill reads until piece is full or the body ends, with io.EOF.
func (b *body) fill(r *http.Request, source io.Reader, piece []byte) (filled []byte, err error) {
	n := 0
	for n < len(piece) && err == nil {
		var read int
		read, err = source.Read(piece[n:])
		n += read
		now := time.Now()
		b.holder.Progress(now)
		httpstop.Enter(r.Context(), connlimit.Body)
	}
	return piece[:n], err
}

func bodyErrorResponse(err error) *localResponse {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &localResponse{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	case errors.Is(err, memory.ErrShortage):
		return shortageResponse()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &localResponse{status: http.StatusRequestTimeout, reason: "body_late"}
	}
	return &localResponse{status: http.StatusBadRequest, reason: "body_unread"}
}

// shortageResponse refuses a request for which there is no memory.
func shortageResponse() *localResponse {
	return &localResponse{status: http.StatusServiceUnavailable, reason: "memory", retryAfter: memoryRetryAfter}
}

// holdHeader counts the memory of a header with many fields, each of which takes more than
// its bytes, until release is called. It returns the response that refuses the request if
// there is none. The head gives up its place.
func (g *Gateway) holdHeader(r *http.Request) (release func(), resp *localResponse) {
	defer httpstop.HeadParsed(r.Context())
	fields := 0
	for _, values := range r.Header {
		fields += len(values)
	}
	if fields <= memory.FreeHeadFields {
		return func() {}, nil
	}
	now := time.Now()
	holder := g.memory.Hold(now, nil)
	if err := holder.Grow(int64(fields-memory.FreeHeadFields)*headerFieldBytes, now); err != nil {
		return holder.Release, shortageResponse()
	}
	return holder.Release, nil
}

// limitHeads bounds the large heads of connections.
func (g *Gateway) limitHeads(conns *httpstop.Conns) {
	resp := shortageResponse()
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		resp.status, http.StatusText(resp.status), g.headers.RetryAfter, formatRetryAfter(resp.retryAfter))
	conns.LimitHeads(g.heads, []byte(text), func() {
		g.metrics.root.Add("heads_refused", 1)
		g.requestLog.newEvent("head.refused", true).Send()
	})
}

// limitUnreadBody bounds how long the server reads the rest of a refused request's body.
func limitUnreadBody(w http.ResponseWriter, r *http.Request) {
	if r.Body != nil && r.Body != http.NoBody {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
}

const (
	// writePiece is the part of an answer that is written at once, and writeTimeout how
	// long a client may take to make room for it.
	writePiece   = 64 << 10
	writeTimeout = 10 * time.Second
	// minReadRate is the rate in bytes per second at which a client must read an answer on
	// the whole, after writeTimeout.
	minReadRate = 16 << 10
	// smallAnswer is the size up to which an answer fits into the buffers of a connection.
	smallAnswer = 4 << 10
)

// writeAnswer writes the body of an answer to a client that may read slowly. The
// connection is closed if the client stands still, or if it reads too slowly to be served
// by any client that still waits for the answer.
func (g *Gateway) writeAnswer(w http.ResponseWriter, answer []byte) {
	if len(answer) <= smallAnswer {
		_, _ = w.Write(answer)
		return
	}
	controller := http.NewResponseController(w)
	now := time.Now()
	holder := g.memory.Hold(now, func() { _ = controller.SetWriteDeadline(time.Unix(1, 0)) })
	defer holder.Release()
	holder.Add(int64(cap(answer)), now)
	end := now.Add(writeTimeout + time.Duration(len(answer))*time.Second/minReadRate)
	for len(answer) > 0 {
		_ = controller.SetWriteDeadline(earlier(end, time.Now().Add(writeTimeout)))
		n, err := w.Write(answer[:min(writePiece, len(answer))])
		if err != nil {
			g.metrics.root.Add("answers_unread", 1)
			return
		}
		answer = answer[n:]
		holder.Progress(time.Now())
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
