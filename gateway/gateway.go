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
	// headerTimeout and headerBytes hold until a configuration gives others.
	headerTimeout = 10 * time.Second
	headerBytes   = 32 << 10
)

// Gateway serves clients on one host.
type Gateway struct {
	settings Settings
	headers  Headers
	log      zerolog.Logger
	self     Member
	metrics  *metrics

	configuration atomic.Pointer[routing.Configuration]
	backends      *backends
	upstreams     *upstream.Set
	client        *upstreamhttp.Client
	retries       *budget.Budget
	members       *members
	peers         *peer.Client
	peerServer    *peer.Server

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
		ID: settings.HostID, Incarnation: hex.EncodeToString(b), Zone: settings.Place.Zone, Region: settings.Place.Region,
		ClientAddress: settings.ClientListen, PeerAddress: settings.PeerListen,
	}
	g := &Gateway{
		settings:  settings,
		headers:   headers,
		log:       log.With().Str("host", settings.HostID).Logger(),
		self:      self,
		upstreams: upstream.NewSet(settings.Place, settings.Regions),
		client:    upstreamhttp.New(headers.Names),
		retries:   budget.New(settings.Retries),
		members:   newMembers(self),
	}
	// The platform gives daemons no common secret; see docs/QUESTIONS.md.
	auth := peer.NewAuth(settings.HostID, nil)
	g.peers = peer.NewClient(auth, netip.IPv4Unspecified())
	g.peerServer = peer.NewServer(auth, g.log)
	g.backends = newBackends(g.upstreams, g.log)
	g.metrics = newMetrics(g)
	return g, nil
}

// Self returns how the gateway registers itself.
func (g *Gateway) Self() Member { return g.self }

// Peers returns what calls other daemons.
func (g *Gateway) Peers() *peer.Client { return g.peers }

// PeerServer returns what takes other daemons' calls. Handlers must be
// registered before Run.
func (g *Gateway) PeerServer() *peer.Server { return g.peerServer }

// Handlers serve the calls whose form the platform gives.
type Handlers struct {
	Ready, Directory http.Handler
}

// Run serves until ctx ends, then stops gracefully.
func (g *Gateway) Run(ctx context.Context, h Handlers) error {
	servers, err := g.listen(h)
	if err != nil {
		return err
	}
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	var group errgroup.Group
	for _, s := range servers {
		group.Go(func() error { return serve(s) })
	}
	group.Go(func() error { g.client.Sweep(background, g.upstreams.Addresses); return nil })
	group.Go(func() error { g.backends.expire(background); return nil })
	g.log.Info().Str("event", "gateway.start").Str("incarnation", g.self.Incarnation).
		Str("client", g.settings.ClientListen).Str("zone", g.self.Zone).Send()
	<-ctx.Done()
	g.stop(servers)
	stopBackground()
	g.peers.Close()
	return group.Wait()
}

type listening struct {
	server   *http.Server
	listener net.Listener
}

func (g *Gateway) listen(h Handlers) ([]listening, error) {
	wanted := []struct {
		address string
		handler http.Handler
	}{
		{g.settings.ClientListen, http.HandlerFunc(g.serveClient)},
		{g.settings.ReadyListen, h.Ready},
		{g.settings.DirectoryListen, h.Directory},
		{g.settings.PeerListen, g.peerServer},
		{g.settings.MetricsListen, g.metrics.handler()},
	}
	var servers []listening
	for _, w := range wanted {
		l, err := net.Listen("tcp", w.address)
		if err != nil {
			return nil, fmt.Errorf("listen on %s: %w", w.address, err)
		}
		servers = append(servers, listening{newServer(w.handler), l})
	}
	return servers, nil
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: headerBytes}
}

func serve(s listening) error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", s.listener.Addr(), err)
	}
	return nil
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
	stopMargin = 400 * time.Millisecond
)

// stop leaves the directory, serves the clients that still come, and waits
// for the requests in flight.
func (g *Gateway) stop(servers []listening) {
	g.leaving.Store(true)
	end := time.Now().Add(g.settings.StopTimeout - stopMargin)
	g.log.Info().Str("event", "gateway.stopping").Int("requests", g.requests.Count()).Send()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	sleep.For(ctx, min(lookupsRunOut, g.settings.StopTimeout/2))
	if err := servers[0].server.Shutdown(ctx); err != nil {
		g.log.Warn().Str("event", "gateway.cut").Int("requests", g.requests.Count()).Err(err).Send()
	}
	for _, s := range servers {
		_ = s.server.Close()
	}
	g.log.Info().Str("event", "gateway.stopped").Send()
}
