package peer

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"bilberrytiller.example/tiller/internal/inflight"
	"bilberrytiller.example/tiller/protocol/wire"
)

// maxConcurrentCalls limits the calls that run concurrently on one connection.
const maxConcurrentCalls = 4096

// refusalLinesPerSecond limits the log lines about refused connections.
const refusalLinesPerSecond = 10

type handler func(ctx context.Context, from string, body []byte) (any, error)

// Server serves calls from peers.
type Server struct {
	auth     *Auth
	log      zerolog.Logger
	handlers map[wire.Type]handler
	started  time.Time
	calls    inflight.Counter
	// refusalLog limits the lines about refused connections, which anybody can cause.
	refusalLog *rate.Limiter

	mu    sync.Mutex
	conns map[*websocket.Conn]bool
}

// NewServer returns a server that authenticates peers with auth.
func NewServer(auth *Auth, log zerolog.Logger) *Server {
	return &Server{auth: auth, log: log, handlers: map[wire.Type]handler{}, conns: map[*websocket.Conn]bool{}, started: time.Now(), refusalLog: rate.NewLimiter(refusalLinesPerSecond, refusalLinesPerSecond)}
}

// Handle registers the handler of a call type. It must not be called after the
// server has started to serve. h receives the peer's name from its token. Its
// context ends when the peer cancels the call, with ErrCancelled as the cause, or
// when the connection is closed.
func Handle[In, Out any](s *Server, t wire.Type, h func(ctx context.Context, from string, in *In) (*Out, error)) {
	s.handlers[t] = func(ctx context.Context, from string, body []byte) (any, error) {
		in := new(In)
		if err := wire.DecodeBody(body, in); err != nil {
			return nil, err
		}
		return h(ctx, from, in)
	}
}

// ServeHTTP accepts a connection from a peer and serves its calls.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := s.auth.Check(r.Header.Get(HeaderAuth), time.Now())
	if err != nil {
		s.logRefusal().Str("event", "peer.refused").Str("remote", r.RemoteAddr).Err(err).Send()
		http.Error(w, err.Error(), http.StatusUnauthorized)
		return
	}
	w.Header().Set(HeaderClock, strconv.FormatInt(s.Clock().Milliseconds(), 10))
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	ws.SetReadLimit(wire.MaxFrameBytes)
	s.serve(r.Context(), ws, from)
}

// logRefusal returns a log line, or nil, on which all methods are no-ops, if too many were
// written lately.
func (s *Server) logRefusal() *zerolog.Event {
	if !s.refusalLog.AllowN(time.Now(), 1) {
		return nil
	}
	return s.log.Warn()
}

// InFlight returns the number of calls whose answers have not been written yet.
func (s *Server) InFlight() int { return s.calls.Count() }

// Shutdown waits until every call has been answered, then closes the connections.
// If ctx ends first, it returns the cause and leaves the connections open.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.calls.Wait(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for ws := range s.conns {
		_ = ws.CloseNow()
	}
	return nil
}

func (s *Server) track(ws *websocket.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[ws] = true
}

func (s *Server) untrack(ws *websocket.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, ws)
}

func (s *Server) serve(ctx context.Context, ws *websocket.Conn, from string) {
	ctx, cancel := context.WithCancel(ctx)
	s.track(ws)
	var calls sync.WaitGroup
	defer func() {
		s.untrack(ws)
		cancel()
		_ = ws.CloseNow()
		calls.Wait()
	}()
	semaphore := make(chan struct{}, maxConcurrentCalls)
	active := newActiveCalls()
	for {
		_, frame, err := ws.Read(ctx)
		if err != nil {
			return
		}
		env, err := wire.Decode(frame)
		if err != nil {
			s.log.Warn().Str("event", "peer.malformed").Str("peer", from).Err(err).Send()
			_ = ws.Close(websocket.StatusUnsupportedData, err.Error())
			return
		}
		if env.Cancel {
			active.cancel(env.ID)
			continue
		}
		select {
		case semaphore <- struct{}{}:
		default:
			// Waiting for a call to end would leave pings and cancellations unread.
			s.writeAnswer(ctx, ws, env, nil, ErrBusy)
			continue
		}
		answered := s.calls.Begin()
		callCtx, end := active.begin(ctx, env.ID)
		calls.Go(func() {
			out, err := s.dispatch(callCtx, from, env)
			end()
			s.writeAnswer(ctx, ws, env, out, err)
			answered()
			<-semaphore
		})
	}
}

// ErrBusy means that a call did not run, since as many run on its connection as may.
var ErrBusy = errors.New("too many calls run on the connection")

// ErrCancelled is the cancellation cause of the context of a call that the peer
// cancelled.
var ErrCancelled = errors.New("call was cancelled by the peer")

// activeCalls holds the cancel functions of the calls that run on one connection.
type activeCalls struct {
	mu      sync.Mutex
	cancels map[uint64]context.CancelCauseFunc
}

func newActiveCalls() *activeCalls {
	return &activeCalls{cancels: map[uint64]context.CancelCauseFunc{}}
}

func (a *activeCalls) begin(ctx context.Context, id uint64) (callCtx context.Context, end func()) {
	callCtx, cancel := context.WithCancelCause(ctx)
	a.mu.Lock()
	a.cancels[id] = cancel
	a.mu.Unlock()
	return callCtx, func() {
		cancel(nil)
		a.mu.Lock()
		delete(a.cancels, id)
		a.mu.Unlock()
	}
}

func (a *activeCalls) cancel(id uint64) {
	a.mu.Lock()
	cancel := a.cancels[id]
	a.mu.Unlock()
	if cancel != nil {
		cancel(ErrCancelled)
	}
}

func (s *Server) writeAnswer(ctx context.Context, ws *websocket.Conn, env wire.Envelope, out any, err error) {
	reply := wire.Envelope{Type: env.Type, ID: env.ID, IsReply: true}
	if err != nil {
		reply.Error, reply.NotRun = err.Error(), errors.Is(err, ErrBusy)
		out = nil
	}
	frame, err := wire.Encode(reply, out)
	if err != nil {
		s.log.Error().Str("event", "peer.encode").Err(err).Send()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_ = ws.Write(ctx, websocket.MessageBinary, frame)
}

// UnknownCallError means that a peer made a call that has no handler.
type UnknownCallError struct{ Type wire.Type }

func (e UnknownCallError) Error() string { return "unknown call " + string(e.Type) }

func (s *Server) dispatch(ctx context.Context, from string, env wire.Envelope) (any, error) {
	h, ok := s.handlers[env.Type]
	if !ok {
		return nil, UnknownCallError{Type: env.Type}
	}
	return h(ctx, from, env.Body)
}
