package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kataras/iris/v12"

	"bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/protocol/platformapi"
)

// Paths that control the stand-in.
const (
	PathFaults = "/admin/faults"
	PathHosts  = "/admin/hosts"
	PathCalls  = "/admin/calls"
)

// Faults are the faults that the stand-in can inject.
type Faults struct {
	// Down rejects every call with status 503.
	Down bool `json:"down"`
	// DelayMs delays every call.
	DelayMs int `json:"delay_ms"`
	// DropResponses is the number of subsequent writes that take effect without a
	// response: the connection is closed instead.
	DropResponses int `json:"lose_answers"`
	// WatchDelayMs delays the events of a watch.
	WatchDelayMs int `json:"watch_lag_ms"`
	// FreezeReads serves lists from a snapshot taken when the fault was set.
	FreezeReads bool `json:"freeze_reads"`
	// FreezeHosts keeps the published list of hosts unchanged.
	FreezeHosts bool `json:"freeze_hosts"`
}

// Calls counts the calls that no fault rejected.
type Calls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// Server is the stand-in. It implements http.Handler.
type Server struct {
	store       *store
	app         *iris.Application
	mu          sync.Mutex
	faults      Faults
	frozenLists map[string]platform.List
	// hosts is the current list of hosts, publishedHosts the list that the API
	// returns.
	hosts, publishedHosts  []platform.Host
	reads, writes, watches atomic.Int64
	watchTimeout           time.Duration
}

// New returns a stand-in without objects.
func New() *Server {
	s := &Server{store: newStore(), watchTimeout: 20 * time.Second}
	s.app = iris.New()
	s.app.Logger().SetLevel("error")
	s.app.Configure(iris.WithoutBanner, iris.WithoutStartupLog)
	s.routes()
	if err := s.app.Build(); err != nil {
		panic(err) // Reached only if a route pattern above is invalid.
	}
	return s
}

// ServeHTTP handles one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.app.ServeHTTP(w, r) }

func (s *Server) routes() {
	objects := platformapi.PathObjects
	s.app.Get(objects+"{kind}", s.injectFaults, s.list)
	s.app.Get(objects+"{kind}/{name}", s.injectFaults, s.get)
	s.app.Put(objects+"{kind}/{name}", s.injectFaults, s.put)
	s.app.Delete(objects+"{kind}/{name}", s.injectFaults, s.delete)
	s.app.Get(platformapi.PathWatch+"{kind}", s.injectFaults, s.watch)
	s.app.Get(platformapi.PathHosts, s.injectFaults, s.listHosts)
	s.app.Put(PathFaults, s.putFaults)
	s.app.Put(PathHosts, s.putHosts)
	s.app.Get(PathCalls, s.getCalls)
}

// SetFaults replaces the set of active faults.
func (s *Server) SetFaults(f Faults) {
	frozen := map[string]platform.List{}
	if f.FreezeReads {
		for _, kind := range []string{platform.KindCatalogue, platform.KindReport, platform.KindReportAnswer, platform.KindLease} {
			frozen[kind] = s.store.list(kind)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.frozenLists = frozen
	if !f.FreezeHosts {
		s.publishedHosts = s.hosts
	}
}

// SetHosts replaces the list of hosts.
func (s *Server) SetHosts(hosts []platform.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = hosts
	if !s.faults.FreezeHosts {
		s.publishedHosts = hosts
	}
}

// Calls returns the number of calls so far.
func (s *Server) Calls() Calls {
	return Calls{Reads: s.reads.Load(), Writes: s.writes.Load(), Watches: s.watches.Load()}
}

// Replace writes an object regardless of its version.
func (s *Server) Replace(kind, name string, data []byte) (uint64, error) {
	current, err := s.store.get(kind, name)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return 0, err
	}
	return s.store.put(kind, name, current.Version, data)
}

// Remove deletes an object regardless of its version and returns the version
// of the deletion.
func (s *Server) Remove(kind, name string) (uint64, error) {
	current, err := s.store.get(kind, name)
	if err != nil {
		return 0, err
	}
	return s.store.delete(kind, name, current.Version)
}

// CompactHistory drops all past events, so that a watch from an older version
// fails.
func (s *Server) CompactHistory() { s.store.compact() }

// Object returns the current state of an object, regardless of active faults.
func (s *Server) Object(kind, name string) (platform.Object, error) { return s.store.get(kind, name) }

// CatalogueVersion returns the highest version of any catalogue entry.
func (s *Server) CatalogueVersion() uint64 {
	var newest uint64
	for _, obj := range s.store.list(platform.KindCatalogue).Objects {
		newest = max(newest, obj.Version)
	}
	return newest
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// injectFaults delays or rejects a call according to the active faults.
func (s *Server) injectFaults(ctx iris.Context) {
	f := s.currentFaults()
	if f.DelayMs > 0 {
		time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
	}
	if s.currentFaults().Down {
		ctx.StopWithStatus(http.StatusServiceUnavailable)
		return
	}
	ctx.Next()
}

func (s *Server) list(ctx iris.Context) {
	s.reads.Add(1)
	kind := ctx.Params().Get("kind")
	s.mu.Lock()
	frozen, ok := s.frozenLists[kind]
	s.mu.Unlock()
	if ok {
		writeResponse(ctx, frozen, nil)
		return
	}
	writeResponse(ctx, s.store.list(kind), nil)
}

func (s *Server) get(ctx iris.Context) {
	s.reads.Add(1)
	obj, err := s.store.get(ctx.Params().Get("kind"), ctx.Params().Get("name"))
	writeResponse(ctx, obj, err)
}

func (s *Server) put(ctx iris.Context) {
	version, ok := ifVersion(ctx)
	if !ok {
		return
	}
	body, err := ctx.GetBody()
	if err != nil || len(body) > platform.MaxObjectBytes || !json.Valid(body) {
		ctx.StopWithStatus(http.StatusBadRequest)
		return
	}
	written, err := s.store.put(ctx.Params().Get("kind"), ctx.Params().Get("name"), version, body)
	s.respondToWrite(ctx, written, err)
}

func (s *Server) delete(ctx iris.Context) {
	version, ok := ifVersion(ctx)
	if !ok {
		return
	}
	written, err := s.store.delete(ctx.Params().Get("kind"), ctx.Params().Get("name"), version)
	s.respondToWrite(ctx, written, err)
}

// respondToWrite answers a write, or closes the connection if the response is
// to be dropped.
func (s *Server) respondToWrite(ctx iris.Context, version uint64, err error) {
	s.writes.Add(1)
	if s.dropNextResponse() {
		panic(http.ErrAbortHandler)
	}
	writeResponse(ctx, platformapi.WriteResponse{Version: version}, err)
}

func (s *Server) dropNextResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropResponses == 0 {
		return false
	}
	s.faults.DropResponses--
	return true
}

func (s *Server) watch(ctx iris.Context) {
	s.watches.Add(1)
	after, err := strconv.ParseUint(ctx.URLParam(platformapi.ParamAfter), 10, 64)
	if err != nil {
		ctx.StopWithStatus(http.StatusBadRequest)
		return
	}
	wait, cancel := context.WithTimeout(ctx.Request().Context(), s.watchTimeout)
	defer cancel()
	changes, err := s.store.watch(wait, ctx.Params().Get("kind"), after)
	f := s.currentFaults()
	time.Sleep(time.Duration(f.WatchDelayMs) * time.Millisecond)
	if s.currentFaults().Down {
		ctx.StopWithStatus(http.StatusServiceUnavailable)
		return
	}
	writeResponse(ctx, changes, err)
}

func (s *Server) listHosts(ctx iris.Context) {
	s.reads.Add(1)
	s.mu.Lock()
	hosts := s.publishedHosts
	s.mu.Unlock()
	if hosts == nil {
		hosts = []platform.Host{}
	}
	writeResponse(ctx, hosts, nil)
}

func (s *Server) putFaults(ctx iris.Context) {
	var f Faults
	if err := ctx.ReadJSON(&f); err != nil {
		ctx.StopWithError(http.StatusBadRequest, err)
		return
	}
	s.SetFaults(f)
}

func (s *Server) putHosts(ctx iris.Context) {
	var hosts []platform.Host
	if err := ctx.ReadJSON(&hosts); err != nil {
		ctx.StopWithError(http.StatusBadRequest, err)
		return
	}
	s.SetHosts(hosts)
}

func (s *Server) getCalls(ctx iris.Context) { writeResponse(ctx, s.Calls(), nil) }

func ifVersion(ctx iris.Context) (uint64, bool) {
	version, err := strconv.ParseUint(ctx.GetHeader(platformapi.HeaderIfVersion), 10, 64)
	if err != nil {
		ctx.StopWithStatus(http.StatusBadRequest)
		return 0, false
	}
	return version, true
}

func writeResponse(ctx iris.Context, v any, err error) {
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		ctx.StatusCode(http.StatusConflict)
		v = conflict.Current
	case errors.Is(err, platform.ErrNotFound):
		ctx.StopWithStatus(http.StatusNotFound)
		return
	case errors.Is(err, platform.ErrTooOld):
		ctx.StopWithStatus(http.StatusGone)
		return
	}
	_ = ctx.JSON(v)
}
