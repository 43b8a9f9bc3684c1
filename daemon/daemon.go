// Package daemon connects the packages that make decisions to their inputs and
// outputs and runs them as the daemon of one entry host.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"bilberrytiller.example/tiller/coordination/admission"
	"bilberrytiller.example/tiller/coordination/attempt"
	"bilberrytiller.example/tiller/coordination/drain"
	"bilberrytiller.example/tiller/coordination/hold"
	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/coordination/permit"
	"bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/coordination/platformwrite"
	"bilberrytiller.example/tiller/coordination/retry"
	"bilberrytiller.example/tiller/coordination/spread"
	"bilberrytiller.example/tiller/internal/httpstop"
	"bilberrytiller.example/tiller/internal/inflight"
	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/transport/peer"
	"bilberrytiller.example/tiller/transport/platformhttp"
)

const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	// maxKeys is the maximum number of keys that the daemon records.
	maxKeys          = 250_000
	incarnationBytes = 8
)

// platformWriteLimit and platformWriteBackoff limit the rate of a daemon's
// writes to the platform, which all daemons share.
var (
	platformWriteLimit   = platformwrite.RateLimit{CallsPerSecond: 20, Burst: 40}
	platformWriteBackoff = platformwrite.Backoff{Initial: 50 * time.Millisecond, Max: 2 * time.Second}
)

// Daemon is the daemon of one entry host.
type Daemon struct {
	settings Settings
	log      zerolog.Logger
	self     membership.Member
	metrics  *metrics

	platform platform.Client
	// platformWriter sends the writes that must take effect once.
	platformWriter *platformwrite.Writer
	peerClient     *peer.Client
	// controlClient carries heartbeats and facts. They have their own
	// connections, apart from those of peerClient, so that a heartbeat does
	// not wait behind the bytes of a request.
	controlClient *peer.Client
	peerServer    *peer.Server
	auth          *peer.Auth

	catalogue         atomic.Pointer[catalogue.Set]
	invalid           *invalidObjects
	view              atomic.Pointer[membership.View]
	cachedLookupIndex atomic.Pointer[lookupIndex]
	// cachedAssignments holds the assignments that were computed last.
	cachedAssignments atomic.Pointer[assignments]
	roster            *roster

	facts        *spread.Store
	factHandlers map[spread.Kind]func([]spread.Fact)
	// hostVersions holds the versions of the applied host facts. hostsMu guards it, and
	// is held while they are applied.
	hostsMu      sync.Mutex
	hostVersions map[string]uint64

	keyIssuer *permit.Issuer
	keys      *permit.Table
	// keySuccessors and handoverReceiver track the keys of daemons that
	// stopped. handedOver is closed when the handover of this daemon's own
	// keys has ended.
	keySuccessors    *permit.Successors
	handoverReceiver *permit.Receiver
	handedOver       chan struct{}
	// attempts holds the dispatches of requests with a key to this daemon.
	attempts      *attempt.Table
	heldUpstreams *heldUpstreams
	loads         *upstreamLoads
	// suspects tracks the requests on which backend servers may have crashed.
	suspects *suspects
	// lease decides whether this daemon may dispatch.
	lease       *hold.Lease
	admission   *admission.Controller
	retryBudget *retry.Budget

	limits      *limits
	links       *links
	shifts      *shifts
	drains      *drainState
	loadReports *drain.Reports

	listeners listeners
	// requests counts the callers' requests in flight. runs counts the runs of
	// requests with a key, the dispatches of such requests to this daemon, and
	// the runs of accepted requests.
	requests inflight.Counter
	runs     inflight.Counter
	// leaving is set once the daemon has begun to stop.
	leaving atomic.Bool
}

// listeners holds the listeners for callers, peers and operators.
type listeners struct {
	caller, peer, operator net.Listener
}

// New returns a daemon that listens on its addresses but serves nothing until
// Run. If settings are invalid, or an address cannot be listened on, the error
// wraps the *SettingErrors.
func New(settings Settings, log zerolog.Logger) (*Daemon, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	d := assemble(settings, log, incarnation)
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.initWithAddresses(incarnation)
	d.registerPeerHandlers()
	d.registerFactHandlers()
	return d, nil
}

// assemble returns a daemon with the parts that do not depend on its
// addresses.
func assemble(settings Settings, log zerolog.Logger, incarnation string) *Daemon {
	d := &Daemon{
		settings:     settings,
		log:          log.With().Str("host", settings.HostID).Logger(),
		metrics:      newMetrics(),
		platform:     platformhttp.New(settings.Platform),
		auth:         peer.NewAuth(settings.HostID, []byte(settings.Secret)),
		keyIssuer:    permit.NewIssuer([]byte(settings.Secret), rand.Reader),
		keys:         permit.NewTable(incarnation, permit.Limits{MaxKeys: maxKeys, MaxAnswerBytes: maxStoredAnswerBytes}),
		loads:        newUpstreamLoads(),
		lease:        hold.NewLease(time.Now()),
		admission:    admission.New(),
		retryBudget:  retry.NewBudget(),
		facts:        spread.NewStore(),
		suspects:     newSuspects(),
		invalid:      newInvalidObjects(),
		factHandlers: map[spread.Kind]func([]spread.Fact){},
		hostVersions: map[string]uint64{},
		drains:       newDrainState(),
		shifts:       newShifts(),
		loadReports:  drain.NewReports(),
	}
	d.attempts = attempt.NewTable()
	d.keySuccessors = permit.NewSuccessors()
	d.handoverReceiver = permit.NewReceiver(incarnation, d.keys)
	d.handedOver = make(chan struct{})
	d.metrics.vars.Set("keys_held", expvar.Func(func() any { return d.keys.Len() }))
	d.platformWriter = platformwrite.New(d.platform, platformWriteLimit, platformWriteBackoff)
	d.peerServer = peer.NewServer(d.auth, d.log)
	d.heldUpstreams = newHeldUpstreams(d.log)
	return d
}

// initWithAddresses creates the parts that depend on the listeners' addresses.
func (d *Daemon) initWithAddresses(incarnation string) {
	d.self = membership.Member{
		ID:          d.settings.HostID,
		Incarnation: incarnation,
		DataCentre:  d.settings.DataCentre,
		Region:      d.settings.Region,
		Peer:        advertisedAddr(d.settings.PeerAdvertise, d.listeners.peer),
		Caller:      advertisedAddr(d.settings.CallerAdvertise, d.listeners.caller),
	}
	d.peerClient = peer.NewClient(d.auth, listenerAddr(d.listeners.peer).Addr())
	d.controlClient = peer.NewClient(d.auth, listenerAddr(d.listeners.peer).Addr())
	d.roster = newRoster(d.self, time.Now())
	d.catalogue.Store(catalogue.Empty())
	d.view.Store(membership.NewView(d.self, []membership.Member{d.self}))
	d.limits = newLimits(d)
	d.links = newLinks(d)
}

// registerFactHandlers sets the handler of each kind of fact.
func (d *Daemon) registerFactHandlers() {
	d.registerFactHandler(factCatalogue, d.applyCatalogueFacts)
	d.registerFactHandler(factDraining, d.drains.applyDrainFacts)
	d.registerFactHandler(factShares, d.limits.applyShareFacts)
	d.registerFactHandler(factCrash, d.applyCrashFacts)
	d.registerFactHandler(factInvalid, d.applyInvalidFacts)
	d.registerFactHandler(factMember, d.applyMemberFacts)
	d.registerFactHandler(factHost, d.applyHostFacts)
	d.registerFactHandler(factSuccession, d.applySuccessionFacts)
}

// CallerAddr returns the address on which the daemon serves callers.
func (d *Daemon) CallerAddr() netip.AddrPort { return listenerAddr(d.listeners.caller) }

// PeerAddr returns the address on which the daemon serves other daemons.
func (d *Daemon) PeerAddr() netip.AddrPort { return listenerAddr(d.listeners.peer) }

// OperatorAddr returns the address on which the daemon serves operators.
func (d *Daemon) OperatorAddr() netip.AddrPort { return listenerAddr(d.listeners.operator) }

// Run serves until ctx ends, then stops gracefully within the stop timeout. Its
// error wraps a *StopTimeoutError if the stop did not finish in time and cut
// off the work in flight.
func (d *Daemon) Run(ctx context.Context) error {
	servers := d.servers()
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	var group errgroup.Group
	for _, s := range servers.all() {
		group.Go(func() error { return serveListener(s.server, s.listener) })
	}
	group.Go(func() error { return d.syncCatalogue(background) })
	group.Go(func() error { return d.syncHosts(background) })
	group.Go(func() error { return d.runHeartbeats(background) })
	group.Go(func() error { return d.manageHolds(background) })
	group.Go(func() error { return d.pollLoadReports(background) })
	group.Go(func() error { return d.limits.maintain(background) })
	group.Go(func() error { return d.runStoredReports(background) })
	d.log.Info().Str("event", "daemon.ready").Str("incarnation", d.self.Incarnation).
		Stringer("caller", d.CallerAddr()).Stringer("peer", d.PeerAddr()).Stringer("operator", d.OperatorAddr()).Send()
	<-ctx.Done()
	err := d.stop(servers)
	stopBackground()
	d.peerClient.Close()
	d.controlClient.Close()
	return errors.Join(err, group.Wait())
}

// boundServer is an HTTP server with its listener.
type boundServer struct {
	server   *http.Server
	listener net.Listener
}

// servers holds the servers of the three listeners.
type servers struct {
	caller, peer, operator boundServer
	// callerConns are the connections of caller.
	callerConns *httpstop.Conns
}

func (s servers) all() []boundServer { return []boundServer{s.caller, s.peer, s.operator} }

func (d *Daemon) servers() servers {
	caller := newServer(d.closeConnectionsWhileLeaving(d.callerHandler()))
	callerConns := httpstop.Track(caller)
	return servers{
		caller:   boundServer{caller, callerConns.Listener(d.listeners.caller)},
		peer:     boundServer{newServer(d.peerHandler()), d.listeners.peer},
		operator: boundServer{newServer(d.operatorHandler()), d.listeners.operator},

		callerConns: callerConns,
	}
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func serveListener(s *http.Server, l net.Listener) error {
	// Only a stop closes a listener.
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("serve %s: %w", l.Addr(), err)
	}
	return nil
}

func (d *Daemon) listen() error {
	var err error
	if d.listeners.caller, err = listen("caller-listen", d.settings.CallerListen); err != nil {
		return err
	}
	if d.listeners.peer, err = listen("peer-listen", d.settings.PeerListen); err != nil {
		return err
	}
	d.listeners.operator, err = listen("operator-listen", d.settings.OperatorListen)
	return err
}

func listen(flag, addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, newSettingError(flag, addr, "an address of this host that is not in use", err)
	}
	return l, nil
}

func listenerAddr(l net.Listener) netip.AddrPort {
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// advertisedAddr returns the address in text, which Settings.Check has
// validated, or the listener's address if text is empty.
func advertisedAddr(text string, l net.Listener) netip.AddrPort {
	if addr, err := netip.ParseAddrPort(text); err == nil {
		return addr
	}
	return listenerAddr(l)
}

func newIncarnation() (string, error) {
	b := make([]byte, incarnationBytes)
	if _, err := rand.Read(b); err != nil {
		return "", fmt.Errorf("generate incarnation: %w", err)
	}
	return hex.EncodeToString(b), nil
}
