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

// Paths that steer the stand-in.
const (
	PathFaults = "/admin/faults"
	PathHosts  = "/admin/hosts"
	PathCalls  = "/admin/calls"
)

// Faults are the ways in which the stand-in fails.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// DelayMs holds every call back.
	DelayMs int `json:"delay_ms"`
	// DropResponses drops the answers of the next writes after they took effect.
	DropResponses int `json:"lose_answers"`
	// WatchDelayMs holds the events of a watch back.
	WatchDelayMs int `json:"watch_lag_ms"`
	// FreezeReads answers lists and gets as they stood when it was set.
	FreezeReads bool `json:"freeze_reads"`
	// FreezeHosts leaves the list of hosts as it is.
	FreezeHosts bool `json:"freeze_hosts"`
}

// Calls counts the calls that were answered.
type Calls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// Server is the stand-in. It implements http.Handler.
type Server struct {
	store  *store
	app    *iris.Application
	mu     sync.Mutex
	faults Faults
	frozen map[string]platform.List
	// hosts are the hosts as they are, listed the hosts as the API lists them.
	hosts, listed          []platform.Host
	reads, writes, watches atomic.Int64
	watchWait              time.Duration
}

// New returns a stand-in with no objects.
func New() *Server {
	s := &Server{store: newStore(), watchWait: 20 * time.Second}
	s.app = iris.New()
	s.app.Logger().SetLevel("error")
	s.app.Configure(iris.WithoutBanner, iris.WithoutStartupLog)
	s.routes()
	if err := s.app.Build(); err != nil {
		panic(err) // Only a wrong route pattern above gets here.
	}
	return s
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.app.ServeHTTP(w, r) }

func (s *Server) routes() {
	objects := platformapi.PathObjects
	s.app.Get(objects+"{kind}", s.faulty, s.list)
	s.app.Get(objects+"{kind}/{name}", s.faulty, s.get)
	s.app.Put(objects+"{kind}/{name}", s.faulty, s.put)
	s.app.Delete(objects+"{kind}/{name}", s.faulty, s.delete)
	s.app.Get(platformapi.PathWatch+"{kind}", s.faulty, s.watch)
	s.app.Get(platformapi.PathHosts, s.faulty, s.listHosts)
	s.app.Put(PathFaults, s.putFaults)
	s.app.Put(PathHosts, s.putHosts)
	s.app.Get(PathCalls, s.getCalls)
}

// SetFaults switches faults on and off.
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
	s.frozen = frozen
	if !f.FreezeHosts {
		s.listed = s.hosts
	}
}

// SetHosts replaces the list of hosts.
func (s *Server) SetHosts(hosts []platform.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = hosts
	if !s.faults.FreezeHosts {
		s.listed = hosts
	}
}

// Calls returns the calls answered so far.
func (s *Server) Calls() Calls {
	return Calls{Reads: s.reads.Load(), Writes: s.writes.Load(), Watches: s.watches.Load()}
}

// Replace writes an object whatever its version.
func (s *Server) Replace(kind, name string, data []byte) (uint64, error) {
	current, err := s.store.get(kind, name)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return 0, err
	}
	return s.store.put(kind, name, current.Version, data)
}

// Remove deletes an object whatever its version and returns the version of
// the deletion.
func (s *Server) Remove(kind, name string) (uint64, error) {
	current, err := s.store.get(kind, name)
	if err != nil {
		return 0, err
	}
	return s.store.delete(kind, name, current.Version)
}

// CompactHistory drops the changes that a watch can look back on.
func (s *Server) CompactHistory() { s.store.forget() }

// Object returns an object as it stands, whatever the faults.
func (s *Server) Object(kind, name string) (platform.Object, error) { return s.store.get(kind, name) }

// CatalogueVersion returns the highest version of a catalogue entry.
func (s *Server) CatalogueVersion() uint64 {
	var newest uint64
	for _, obj := range s.store.list(platform.KindCatalogue).Objects {
		newest = max(newest, obj.Version)
	}
	return newest
}

func (s *Server) current() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// faulty refuses or delays a call as the faults say.
func (s *Server) faulty(ctx iris.Context) {
	f := s.current()
	if f.DelayMs > 0 {
		time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
	}
	if s.current().Down {
		ctx.StopWithStatus(http.StatusServiceUnavailable)
		return
	}
	ctx.Next()
}

func (s *Server) list(ctx iris.Context) {
	s.reads.Add(1)
	kind := ctx.Params().Get("kind")
	s.mu.Lock()
	frozen, ok := s.frozen[kind]
	s.mu.Unlock()
	if ok {
		answer(ctx, frozen, nil)
		return
	}
	answer(ctx, s.store.list(kind), nil)
}

func (s *Server) get(ctx iris.Context) {
	s.reads.Add(1)
	obj, err := s.store.get(ctx.Params().Get("kind"), ctx.Params().Get("name"))
	answer(ctx, obj, err)
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
	s.answerWrite(ctx, written, err)
}

func (s *Server) delete(ctx iris.Context) {
	version, ok := ifVersion(ctx)
	if !ok {
		return
	}
	written, err := s.store.delete(ctx.Params().Get("kind"), ctx.Params().Get("name"), version)
	s.answerWrite(ctx, written, err)
}

// answerWrite answers a write, or drops the connection where its answer is
// to be lost.
func (s *Server) answerWrite(ctx iris.Context, version uint64, err error) {
	s.writes.Add(1)
	if s.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	answer(ctx, platformapi.WriteResponse{Version: version}, err)
}

func (s *Server) loseAnswer() bool {
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
	wait, cancel := context.WithTimeout(ctx.Request().Context(), s.watchWait)
	defer cancel()
	changes, err := s.store.watch(wait, ctx.Params().Get("kind"), after)
	f := s.current()
	time.Sleep(time.Duration(f.WatchDelayMs) * time.Millisecond)
	if s.current().Down {
		ctx.StopWithStatus(http.StatusServiceUnavailable)
		return
	}
	answer(ctx, changes, err)
}

func (s *Server) listHosts(ctx iris.Context) {
	s.reads.Add(1)
	s.mu.Lock()
	hosts := s.listed
	s.mu.Unlock()
	if hosts == nil {
		hosts = []platform.Host{}
	}
	answer(ctx, hosts, nil)
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

func (s *Server) getCalls(ctx iris.Context) { answer(ctx, s.Calls(), nil) }

func ifVersion(ctx iris.Context) (uint64, bool) {
	version, err := strconv.ParseUint(ctx.GetHeader(platformapi.HeaderIfVersion), 10, 64)
	if err != nil {
		ctx.StopWithStatus(http.StatusBadRequest)
		return 0, false
	}
	return version, true
}

func answer(ctx iris.Context, v any, err error) {
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
