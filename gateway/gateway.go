package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"bilberrytiller.example/tiller/coordination/budget"
	"bilberrytiller.example/tiller/coordination/connlimit"
	"bilberrytiller.example/tiller/coordination/memory"
	"bilberrytiller.example/tiller/coordination/shutdown"
	"bilberrytiller.example/tiller/coordination/upstream"
	"bilberrytiller.example/tiller/internal/httpstop"
	"bilberrytiller.example/tiller/internal/inflight"
	"bilberrytiller.example/tiller/internal/sleep"
	"bilberrytiller.example/tiller/state/routing"
	"bilberrytiller.example/tiller/transport/peer"
	"bilberrytiller.example/tiller/transport/upstreamhttp"
)

const (
	incarnationBytes = 8
	// internalHeaderTimeout and internalMaxHeaderBytes limit requests from the
	// platform and from other daemons.
	internalHeaderTimeout  = 10 * time.Second
	internalMaxHeaderBytes = 16 << 10
	// internalReadTimeout limits how long such a request is read, internalWriteTimeout how
	// long its answer is written. Neither applies to connections between daemons. The
	// latter is short, since a connection whose answer is not read keeps its place.
	internalReadTimeout  = 10 * time.Second
	internalWriteTimeout = 3 * time.Second
	internalIdleTimeout  = 2 * time.Minute
)

// Gateway serves client requests on one host.
type Gateway struct {
	settings   atomic.Pointer[Settings]
	headers    Headers
	log        zerolog.Logger
	self       Member
	metrics    *metrics
	requestLog *requestLogger

	configuration atomic.Pointer[routing.Configuration]
	// configurationAge returns how long ago the configuration was known to be
	// current.
	configurationAge func() time.Duration
	// storeEra returns how often the platform's store was restored.
	storeEra func() int64
	// feedStats returns what the daemon received for its copies of the platform's objects.
	feedStats      func() any
	backends       *backendRegistry
	balancer       *upstream.Balancer
	upstreamClient *upstreamhttp.Client
	retryBudget    *budget.Budget
	crashes        *crashMonitor
	timeBudgets    timeBudgets
	daemons        atomic.Int64
	directory      *directory
	peerClient     *peer.Client
	peerServer     *peer.Server
	quotas         *quotaKeeper
	// organisationUse counts the requests of organisations.
	organisationUse *organisationUse

	memory     *memory.Budget
	heads      *memory.Heads
	connLimits connlimit.Limits
	clients    *clientServer
	// directoryConns is nil until the gateway listens.
	directoryConns *httpstop.Conns
	inFlight       inflight.Counter
	// stopPlan is nil until the gateway is stopping.
	stopPlan atomic.Pointer[shutdown.Plan]
}

// New returns a gateway. It accepts no connections until Run is called.
func New(settings Settings, headers Headers, log zerolog.Logger) (*Gateway, error) {
	b := make([]byte, incarnationBytes)
	if _, err := rand.Read(b); err != nil {
		return nil, fmt.Errorf("generate incarnation: %w", err)
	}
	self := Member{
		ID: settings.HostID, Incarnation: hex.EncodeToString(b), Zone: settings.Locality.Zone, Region: settings.Locality.Region,
		ClientAddress: settings.ClientListen, PeerAddress: settings.PeerListen, Capacity: settings.Capacity,
	}
	g := &Gateway{
		headers:         headers,
		log:             log.With().Str("host", settings.HostID).Logger(),
		self:            self,
		balancer:        upstream.NewBalancer(settings.Locality, settings.Regions),
		upstreamClient:  upstreamhttp.New(headers.HeaderNames),
		retryBudget:     budget.New(settings.RetryLimits),
		organisationUse: newOrganisationUse(),
	}
	g.configurationAge = func() time.Duration { return 0 }
	g.storeEra = func() int64 { return 0 }
	g.feedStats = func() any { return nil }
	g.settings.Store(&settings)
	g.directory = newDirectory(self, &hostLoad{linkMbps: settings.LinkMbps})
	// The platform gives daemons no shared secret; see docs/QUESTIONS.md.
	auth := peer.NewAuth(settings.HostID, nil)
	g.peerClient = peer.NewClient(auth, netip.IPv4Unspecified())
	g.peerServer = peer.NewServer(auth, g.log)
	g.crashes = newCrashMonitor(settings.HostID, g.log, g.upstreamClient.Warm, g.limitBodies)
	g.backends = newBackendRegistry(g.balancer, g.log)
	g.metrics = newMetrics(g)
	g.metrics.root.Add("log_lines_left_out", 0)
	g.requestLog = newRequestLogger(g.log, func() { g.metrics.root.Add("log_lines_left_out", 1) })
	g.quotas = newQuotaKeeper(self, settings.QuotaBounds, g.quotaOf, g.peerClient, g.requestLog)
	g.quotas.serve(g.peerServer)
	g.setUpLimits(&settings)
	g.clients = newClientServer(http.HandlerFunc(g.serveClient), g)
	return g, nil
}

// Self returns the member entry by which the gateway registers.
func (g *Gateway) Self() Member { return g.self }

// PeerClient returns the client for calls to other daemons.
func (g *Gateway) PeerClient() *peer.Client { return g.peerClient }

// PeerServer returns the server for calls from other daemons. Handlers must be
// registered before Run.
func (g *Gateway) PeerServer() *peer.Server { return g.peerServer }

// Handlers serve the endpoints whose format the platform defines.
type Handlers struct {
	Ready, Directory http.Handler
}

// Run serves until ctx ends and then stops gracefully. It returns an error if it cannot
// listen on an address within listenTimeout, and after the stop if a listener failed.
func (g *Gateway) Run(ctx context.Context, h Handlers) error {
	clientListener, servers, err := g.listen(ctx, h)
	if err != nil {
		return err
	}
	// The addresses are in use until an earlier process has ended.
	g.quotas.ledger.EarlierProcessEnded(time.Now())
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	limitRuntimeMemory(g.settings.Load().MemoryBytes)
	// A listener that fails for good ends the gateway.
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var group errgroup.Group
	group.Go(func() error { defer stop(); return g.clients.serve(clientListener) })
	for _, s := range servers {
		group.Go(func() error { defer stop(); return serveInternal(s) })
	}
	group.Go(func() error { g.upstreamClient.Sweep(background, g.balancer.Addresses); return nil })
	group.Go(func() error { g.backends.runExpiry(background); return nil })
	group.Go(func() error { g.measureRoundTrips(background); return nil })
	group.Go(func() error { g.measureHostLoad(background); return nil })
	group.Go(func() error { g.quotas.runStart(background); return nil })
	group.Go(func() error { g.quotas.run(background); return nil })
	g.log.Info().Str("event", "gateway.start").Str("incarnation", g.self.Incarnation).
		Str("client", g.self.ClientAddress).Str("zone", g.self.Zone).Send()
	g.logLimits()
	<-ctx.Done()
	g.stop(clientListener)
	for _, s := range servers {
		_ = s.server.Close()
	}
	stopBackground()
	g.peerClient.Close()
	err = group.Wait()
	g.log.Info().Str("event", "gateway.stopped").Send()
	return err
}

// directoryListener is the name of the listener whose connections share the limit of
// clients.
const directoryListener = "directory"

type internalServer struct {
	server   *http.Server
	listener net.Listener
}

const (
	// listenTimeout is how long an address may be in use before the gateway gives up.
	// Its last user may be the gateway's own earlier process, or a connection to which
	// the system has given the port.
	listenTimeout  = 10 * time.Second
	listenInterval = 50 * time.Millisecond
)

// listenOn listens on an address, and waits for it while it is in use.
func (g *Gateway) listenOn(ctx context.Context, address string) (*net.TCPListener, error) {
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	end := time.Now().Add(listenTimeout)
	for {
		l, err := net.ListenTCP("tcp", resolved)
		if err == nil {
			return l, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return nil, fmt.Errorf("listen on %s: %w", address, err)
		}
		g.log.Warn().Str("event", "gateway.address_in_use").Str("address", address).Send()
		if !sleep.For(ctx, listenInterval) {
			return nil, fmt.Errorf("listen on %s: %w: %w", address, err, context.Cause(ctx))
		}
	}
}

func (g *Gateway) listen(ctx context.Context, h Handlers) (clientListener deadlineListener, internal []internalServer, err error) {
	s := g.settings.Load()
	clientListener, err = g.listenOn(ctx, s.ClientListen)
	if err != nil {
		return nil, nil, err
	}
	endpoints := []struct {
		name, address string
		handler       http.Handler
	}{
		{"ready", s.ReadyListen, h.Ready},
		{directoryListener, s.DirectoryListen, h.Directory},
		{"peer", s.PeerListen, g.peerServer},
		{"metrics", s.MetricsListen, g.operatorHandler()},
	}
	for _, e := range endpoints {
		l, err := g.listenOn(ctx, e.address)
		if err != nil {
			return nil, nil, err
		}
		internal = append(internal, g.newServer(e.name, e.handler, l))
	}
	return clientListener, internal, nil
}

// newServer returns a server of internal requests, whose connections are limited.
func (g *Gateway) newServer(name string, h http.Handler, l net.Listener) internalServer {
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: internalHeaderTimeout, ReadTimeout: internalReadTimeout, WriteTimeout: internalWriteTimeout,
		IdleTimeout: internalIdleTimeout, MaxHeaderBytes: internalMaxHeaderBytes, ConnContext: httpstop.ConnContext,
	}
	conns := httpstop.Track(s)
	g.limitHeads(conns)
	track := s.ConnState
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		track(conn, state)
		switch state {
		case http.StateNew:
			g.occupyMemory(1)
		case http.StateClosed, http.StateHijacked:
			g.occupyMemory(-1)
		}
	}
	a := &acceptor{name: name, limit: g.connLimits.Internal, conns: func() []*httpstop.Conns { return []*httpstop.Conns{conns} }, g: g}
	if name == directoryListener {
		g.directoryConns = conns
		a.limit, a.conns = g.connLimits.Clients, g.clientConns
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !httpstop.Enter(r.Context(), connlimit.Serving) {
			panic(http.ErrAbortHandler)
		}
		// None of these requests has a body.
		limitUnreadBody(w, r)
		release, resp := g.holdHeader(r)
		defer release()
		if resp != nil {
			g.writeLocalResponse(w, resp)
			return
		}
		h.ServeHTTP(w, r)
	})
	return internalServer{s, conns.Listener(&boundedListener{l, a})}
}

func serveInternal(s internalServer) error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", s.listener.Addr(), err)
	}
	return nil
}

// Reload applies the settings that may change at run time: the stop timeout,
// the directory TTL and the retry limits. The addresses and the locality stay
// as they were at the start.
func (g *Gateway) Reload(settings Settings) {
	g.settings.Store(&settings)
	g.retryBudget.SetLimits(settings.RetryLimits)
	g.log.Info().Str("event", "gateway.reload").Dur("stop_timeout", settings.StopTimeout).
		Dur("max_ttl", settings.MaxDirectoryTTL).Float64("retry_ratio", settings.RetryLimits.Ratio).Send()
}

// Ready reports whether new clients may be directed to this host.
func (g *Gateway) Ready() bool {
	return !g.isStopping() && g.configuration.Load() != nil && g.backends.isLoaded()
}

func (g *Gateway) isStopping() bool { return g.stopPlan.Load() != nil }

// LeaveUntil returns when a stopping gateway must have removed its member entry, or the
// zero time if it is not stopping.
func (g *Gateway) LeaveUntil() time.Time {
	plan := g.stopPlan.Load()
	if plan == nil {
		return time.Time{}
	}
	return plan.LeaveUntil
}

// stop withdraws the gateway from the directory, keeps serving clients that
// still hold a cached directory answer, and then waits for requests in flight and for
// connections that may still carry one.
func (g *Gateway) stop(clientListener deadlineListener) {
	plan := shutdown.New(time.Now(), g.settings.Load().StopTimeout)
	g.stopPlan.Store(&plan)
	g.log.Info().Str("event", "gateway.stopping").Int("requests", g.inFlight.Count()).Send()
	ctx, cancel := context.WithDeadline(context.Background(), plan.ServeUntil)
	defer cancel()
	sleep.For(ctx, time.Until(plan.AcceptUntil))
	g.clients.drain(clientListener, plan.ServeUntil)
	if err := g.clients.finish(ctx); err != nil && g.inFlight.Count() > 0 {
		g.log.Warn().Str("event", "gateway.cut").Int("requests", g.inFlight.Count()).Err(err).Send()
	}
}
