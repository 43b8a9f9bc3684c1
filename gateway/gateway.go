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
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"bilberrytiller.example/tiller/coordination/budget"
	"bilberrytiller.example/tiller/coordination/upstream"
	"bilberrytiller.example/tiller/internal/inflight"
	"bilberrytiller.example/tiller/internal/sleep"
	"bilberrytiller.example/tiller/state/routing"
	"bilberrytiller.example/tiller/transport/peer"
	"bilberrytiller.example/tiller/transport/upstreamhttp"
)

const (
	incarnationBytes = 8
	// ownHeaderTimeout and ownHeaderBytes bound the calls of the platform and
	// of other daemons.
	ownHeaderTimeout = 10 * time.Second
	ownHeaderBytes   = 16 << 10
)

// Gateway serves clients on one host.
type Gateway struct {
	settings  atomic.Pointer[Settings]
	headers   Headers
	log       zerolog.Logger
	self      Member
	metrics   *metrics
	decisions *decisions

	configuration atomic.Pointer[routing.Configuration]
	backends      *backends
	upstreams     *upstream.Balancer
	client        *upstreamhttp.Client
	retries       *budget.Budget
	crashes       *crashes
	daemons       atomic.Int64
	peers         *peer.Client
	peerServer    *peer.Server

	clients  *clients
	requests inflight.Counter
	leaving  atomic.Bool
}

// New returns a gateway that serves nothing until Run.
func New(settings Settings, headers Headers, log zerolog.Logger) (*Gateway, error) {
	b := make([]byte, incarnationBytes)
	if _, err := rand.Read(b); err != nil {
		return nil, fmt.Errorf("incarnation: %w", err)
	}
	self := Member{
		ID: settings.HostID, Incarnation: hex.EncodeToString(b), Zone: settings.Locality.Zone, Region: settings.Locality.Region,
		ClientAddress: settings.ClientListen, PeerAddress: settings.PeerListen, Capacity: settings.Capacity,
	}
	g := &Gateway{
		headers:   headers,
		log:       log.With().Str("host", settings.HostID).Logger(),
		self:      self,
		upstreams: upstream.NewBalancer(settings.Locality, settings.Regions),
		client:    upstreamhttp.New(headers.Names),
		retries:   budget.New(settings.RetryLimits),
	}
	g.settings.Store(&settings)
	// The platform gives daemons no common secret; see docs/QUESTIONS.md.
	auth := peer.NewAuth(settings.HostID, nil)
	g.peers = peer.NewClient(auth, netip.IPv4Unspecified())
	g.peerServer = peer.NewServer(auth, g.log)
	g.crashes = newCrashes(g.log)
	g.backends = newBackends(g.upstreams, g.log)
	g.metrics = newMetrics(g)
	g.metrics.all.Add("log_lines_left_out", 0)
	g.decisions = newDecisions(g.log, func() { g.metrics.all.Add("log_lines_left_out", 1) })
	g.clients = newClients(http.HandlerFunc(g.serveClient))
	return g, nil
}

// Self returns how the gateway registers itself.
func (g *Gateway) Self() Member { return g.self }

// PeerClient returns what calls other daemons.
func (g *Gateway) PeerClient() *peer.Client { return g.peers }

// PeerServer returns what takes other daemons' calls. Handlers must be
// registered before Run.
func (g *Gateway) PeerServer() *peer.Server { return g.peerServer }

// Handlers serve the calls whose form the platform gives.
type Handlers struct {
	Ready, Directory http.Handler
}

// Run serves until ctx ends, then stops gracefully.
func (g *Gateway) Run(ctx context.Context, h Handlers) error {
	clientListener, servers, err := g.listen(h)
	if err != nil {
		return err
	}
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	var group errgroup.Group
	group.Go(func() error { return g.clients.serve(clientListener) })
	for _, s := range servers {
		group.Go(func() error { return serve(s) })
	}
	group.Go(func() error { g.client.Sweep(background, g.upstreams.Addresses); return nil })
	group.Go(func() error { g.backends.expire(background); return nil })
	g.log.Info().Str("event", "gateway.start").Str("incarnation", g.self.Incarnation).
		Str("client", g.self.ClientAddress).Str("zone", g.self.Zone).Send()
	<-ctx.Done()
	g.stop(clientListener)
	for _, s := range servers {
		_ = s.server.Close()
	}
	stopBackground()
	g.peers.Close()
	err = group.Wait()
	g.log.Info().Str("event", "gateway.stopped").Send()
	return err
}

type listening struct {
	server   *http.Server
	listener net.Listener
}

func (g *Gateway) listen(h Handlers) (clients listener, own []listening, err error) {
	s := g.settings.Load()
	address, err := net.ResolveTCPAddr("tcp", s.ClientListen)
	if err != nil {
		return nil, nil, fmt.Errorf("listen on %s: %w", s.ClientListen, err)
	}
	clients, err = net.ListenTCP("tcp", address)
	if err != nil {
		return nil, nil, fmt.Errorf("listen on %s: %w", s.ClientListen, err)
	}
	wanted := []struct {
		address string
		handler http.Handler
	}{
		{s.ReadyListen, h.Ready},
		{s.DirectoryListen, h.Directory},
		{s.PeerListen, g.peerServer},
		{s.MetricsListen, g.metrics.handler()},
	}
	for _, w := range wanted {
		l, err := net.Listen("tcp", w.address)
		if err != nil {
			return nil, nil, fmt.Errorf("listen on %s: %w", w.address, err)
		}
		own = append(own, listening{newServer(w.handler), l})
	}
	return clients, own, nil
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: ownHeaderTimeout, MaxHeaderBytes: ownHeaderBytes}
}

func serve(s listening) error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", s.listener.Addr(), err)
	}
	return nil
}

// Reload puts settings in force that may change while the gateway runs: the
// bounds. The addresses and the place stay those of the start.
func (g *Gateway) Reload(settings Settings) {
	g.settings.Store(&settings)
	g.retries.SetLimits(settings.RetryLimits)
	g.log.Info().Str("event", "gateway.reload").Dur("stop_timeout", settings.StopTimeout).
		Dur("max_ttl", settings.MaxDirectoryTTL).Float64("retry_ratio", settings.RetryLimits.Ratio).Send()
}

// Ready reports whether clients may be sent here.
func (g *Gateway) Ready() bool {
	return !g.leaving.Load() && g.configuration.Load() != nil && g.backends.known()
}

const (
	// lookupsRunOut is how long clients that hold an answer of the directory
	// may still open connections.
	lookupsRunOut = 2500 * time.Millisecond
	// stopMargin is kept from the stop timeout for the end of the process.
	stopMargin = 800 * time.Millisecond
)

// stop leaves the directory, serves the clients that still come, and waits
// for the requests in flight.
func (g *Gateway) stop(clientListener listener) {
	g.leaving.Store(true)
	timeout := g.settings.Load().StopTimeout
	g.log.Info().Str("event", "gateway.stopping").Int("requests", g.requests.Count()).Send()
	ctx, cancel := context.WithTimeout(context.Background(), timeout-stopMargin)
	defer cancel()
	sleep.For(ctx, min(lookupsRunOut, timeout/2))
	g.clients.drain(clientListener)
	var group errgroup.Group
	for _, s := range g.clients.stop() {
		group.Go(func() error { return s.Shutdown(ctx) })
	}
	if err := group.Wait(); err != nil {
		g.log.Warn().Str("event", "gateway.cut").Int("requests", g.requests.Count()).Err(err).Send()
	}
}
