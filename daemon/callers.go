package daemon

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"bilberrytiller.example/tiller/protocol/callerapi"
	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/state/request"
)

// MaxRequestBodyBytes is the maximum size of the body of a caller's request.
const MaxRequestBodyBytes = 1 << 20

// maxRequestTimeout is the longest time from the arrival of a request to its
// deadline. A longer time that a caller asks for is reduced to it.
const maxRequestTimeout = catalogue.MaxDeadline

func (d *Daemon) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+callerapi.PathLookup, d.handleLookup)
	mux.HandleFunc("GET "+callerapi.PathReports+"{id}", d.handleReport)
	mux.HandleFunc("POST "+callerapi.PathRun+"{service}", d.handleRun)
	mux.HandleFunc("POST "+callerapi.PathRun+"{service}/{path...}", d.handleRun)
	mux.HandleFunc("/", d.handleUnknownPath)
	return mux
}

// handleUnknownPath refuses requests that match no other handler.
func (d *Daemon) handleUnknownPath(w http.ResponseWriter, r *http.Request) {
	writeAnswer(w, d.self.ID, "", "", request.NotRunAnswer(request.ReasonUnknownPath, r.Method+" "+r.URL.Path))
}

func (d *Daemon) handleRun(w http.ResponseWriter, r *http.Request) {
	defer d.requests.Begin()()
	req, err := newRequest(w, r)
	if err != nil {
		d.respond(w, req, unreadableRequestAnswer(req, err))
		return
	}
	d.respond(w, req, d.serveRequest(r.Context(), req))
}

// respond counts the outcome of a request and writes the answer to the caller.
func (d *Daemon) respond(w http.ResponseWriter, req *request.Request, answer request.Answer) {
	d.metrics.requestsByOutcome[answer.Outcome].Add(1)
	newKey := ""
	if needsNewKey(req, answer) {
		newKey = d.issueOwnKey()
	}
	writeAnswer(w, d.self.ID, req.ID, newKey, answer)
}

// needsNewKey reports whether the caller needs another key to send the request
// again, because the request had no key or its key cannot be used again. A
// malformed key is the caller's error and is not replaced.
func needsNewKey(req *request.Request, answer request.Answer) bool {
	if answer.Reason == request.ReasonKeyRequired {
		return true
	}
	return answer.Outcome == request.OutcomeNotRun && req.Key != "" && answer.Reason != request.ReasonKeyInvalid
}

// issueOwnKey returns a new key that this daemon owns, or "" if it cannot
// issue one.
func (d *Daemon) issueOwnKey() string {
	if d.withdrawn() {
		return ""
	}
	key, err := d.keyIssuer.Issue(d.self.Incarnation, time.Now().Add(d.settings.KeyTTL))
	if err != nil {
		return ""
	}
	return key.String()
}

// HeaderError reports a request header with an invalid value.
type HeaderError struct {
	Header string
	Err    error
}

func (e *HeaderError) Error() string { return fmt.Sprintf("header %s: %v", e.Header, e.Err) }

// Unwrap returns the cause.
func (e *HeaderError) Unwrap() error { return e.Err }

var errInvalidDeadline = errors.New("want a whole number of milliseconds above 0")

// newRequest reads a caller's request. The returned request has an ID even if
// err is not nil.
func newRequest(w http.ResponseWriter, r *http.Request) (*request.Request, error) {
	req := &request.Request{
		ID:      rand.Text(),
		Key:     r.Header.Get(callerapi.HeaderKey),
		Service: r.PathValue("service"),
		Caller:  callerAddress(r),
		Method:  r.Method,
		Path:    r.PathValue("path"),
		Header:  forwardedHeader(r.Header),
	}
	if r.URL.RawQuery != "" {
		req.Path += "?" + r.URL.RawQuery
	}
	if text := r.Header.Get(callerapi.HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return req, &HeaderError{Header: callerapi.HeaderDeadline, Err: errInvalidDeadline}
		}
		// The limit is applied before the multiplication, which may overflow.
		timeout := time.Duration(min(ms, maxRequestTimeout.Milliseconds())) * time.Millisecond
		req.Deadline = time.Now().Add(timeout)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxRequestBodyBytes))
	if err != nil {
		return req, fmt.Errorf("read body: %w", err)
	}
	req.Body = body
	return req, nil
}

// unreadableRequestAnswer returns the answer to a request that cannot be read.
// If the request has a key, another copy of it may have run, so its outcome is
// unknown. A body that is too large is the exception, since no copy of such a
// request can run.
func unreadableRequestAnswer(req *request.Request, err error) request.Answer {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return request.NotRunAnswer(request.ReasonTooLarge, err.Error())
	}
	if req.Key != "" {
		return request.UnknownAnswer(request.ReasonBadRequest, err.Error())
	}
	return request.NotRunAnswer(request.ReasonBadRequest, err.Error())
}

// unforwardedHeaders are the headers that are not passed on, because they
// apply to one connection only or to the protocol between caller and daemon.
var unforwardedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Host", "Expect", callerapi.HeaderKey, callerapi.HeaderDeadline, callerapi.HeaderRequestID,
}

// forwardedHeader returns a copy of h without the headers that are not passed
// on.
func forwardedHeader(h http.Header) http.Header {
	out := maps.Clone(h)
	maps.DeleteFunc(out, func(name string, _ []string) bool { return slices.Contains(unforwardedHeaders, name) })
	return out
}

// callerAddress returns the caller's address without the port.
func callerAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// writeAnswer writes an answer to the caller: the upstream's answer if the
// request is done, or else an error with the new key for another attempt, if
// there is one.
func writeAnswer(w http.ResponseWriter, host, id, newKey string, answer request.Answer) {
	h := w.Header()
	for name, values := range forwardedHeader(answer.Header) {
		h[name] = values
	}
	h.Set(callerapi.HeaderRequestID, id)
	h.Set(callerapi.HeaderOutcome, string(answer.Outcome))
	h.Set(callerapi.HeaderReason, string(answer.Reason))
	h.Set(callerapi.HeaderHost, host)
	setReportHeaders(h, answer.Report)
	if answer.Upstream != "" {
		h.Set(callerapi.HeaderUpstream, answer.Upstream)
	}
	if answer.Outcome == request.OutcomeDone && answer.Reason != request.ReasonAnswerNotKept {
		h.Set("Content-Length", strconv.Itoa(len(answer.Body)))
		w.WriteHeader(answer.Status)
		_, _ = w.Write(answer.Body)
		return
	}
	if newKey != "" {
		h.Set(callerapi.HeaderKey, newKey)
	}
	writeJSON(w, callerapi.HTTPStatus(answer.Outcome, answer.Reason), callerapi.ErrorResponse{
		Outcome: answer.Outcome, Reason: answer.Reason, Detail: answer.Detail, RequestID: id, Key: newKey,
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}
