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

// MaxRequestBodyBytes is the largest body that is taken from a caller.
const MaxRequestBodyBytes = 1 << 20

// maxRequestTimeout bounds the deadline that a caller may ask for.
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

// handleUnknownPath refuses what no other handler takes.
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

func (d *Daemon) respond(w http.ResponseWriter, req *request.Request, answer request.Answer) {
	d.metrics.requestsByOutcome[answer.Outcome].Add(1)
	freshKey := ""
	if needsNewKey(req, answer) {
		freshKey = d.issueOwnKey()
	}
	writeAnswer(w, d.self.ID, req.ID, freshKey, answer)
}

// needsNewKey reports whether the caller must have another key to send the
// request again: it had none, or its key is spent. A malformed key is an error
// of the caller's.
func needsNewKey(req *request.Request, answer request.Answer) bool {
	if answer.Reason == request.ReasonKeyRequired {
		return true
	}
	return answer.Outcome == request.OutcomeNotRun && req.Key != "" && answer.Reason != request.ReasonKeyInvalid
}

// issueOwnKey returns a key that this daemon owns, or "".
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

// HeaderError names a request header with a wrong value.
type HeaderError struct {
	Header string
	Err    error
}

func (e *HeaderError) Error() string { return fmt.Sprintf("header %s: %v", e.Header, e.Err) }

// Unwrap returns the cause.
func (e *HeaderError) Unwrap() error { return e.Err }

var errInvalidDeadline = errors.New("want milliseconds above 0")

// newRequest reads a caller's request. The request it returns has an ID also
// when err is not nil.
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
		left := min(time.Duration(ms)*time.Millisecond, maxRequestTimeout)
		req.Deadline = time.Now().Add(left)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxRequestBodyBytes))
	if err != nil {
		return req, fmt.Errorf("body: %w", err)
	}
	req.Body = body
	return req, nil
}

// unreadableRequestAnswer returns the outcome of a request that cannot be read. A copy
// of a request with a key may have run before, unless no copy ever could.
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

// unforwardedHeaders concern one connection or the system itself and are not passed
// on.
var unforwardedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Host", "Expect", callerapi.HeaderKey, callerapi.HeaderDeadline, callerapi.HeaderRequestID,
}

func forwardedHeader(h http.Header) http.Header {
	out := maps.Clone(h)
	maps.DeleteFunc(out, func(name string, _ []string) bool { return slices.Contains(unforwardedHeaders, name) })
	return out
}

func callerAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

func writeAnswer(w http.ResponseWriter, host, id, freshKey string, answer request.Answer) {
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
	if freshKey != "" {
		h.Set(callerapi.HeaderKey, freshKey)
	}
	writeJSON(w, callerapi.HTTPStatus(answer.Outcome, answer.Reason), callerapi.ErrorResponse{
		Outcome: answer.Outcome, Reason: answer.Reason, Detail: answer.Detail, RequestID: id, Key: freshKey,
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
