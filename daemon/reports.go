package daemon

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"bilberrytiller.example/tiller/coordination/duty"
	"bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/coordination/platformwrite"
	"bilberrytiller.example/tiller/coordination/report"
	"bilberrytiller.example/tiller/internal/sleep"
	"bilberrytiller.example/tiller/protocol/callerapi"
	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/state/request"
)

const (
	// storeTimeReserve is the part of a deadline that is reserved for storing the
	// request.
	storeTimeReserve = time.Second
	// reportPollPeriod is how often the platform is polled for accepted requests.
	reportPollPeriod = time.Second
	// maxReportRuns is the number of accepted requests that one daemon runs
	// concurrently.
	maxReportRuns = 8
	// sweepPeriod is how often expired answers are deleted.
	sweepPeriod = time.Hour
	// reportsDuty is the duty of running accepted requests, which one daemon of
	// the fleet holds.
	reportsDuty = "reports"
)

// serveDurable runs a durable request within its deadline. If that does not lead
// to a final answer, it stores the request in the platform to be run later.
func (d *Daemon) serveDurable(ctx context.Context, set *catalogue.Set, req *request.Request) request.Answer {
	direct := *req
	remaining := time.Until(req.Deadline)
	direct.Deadline = req.Deadline.Add(-min(storeTimeReserve, remaining/2))
	answer := d.admitAndRoute(ctx, set, &direct)
	if report.IsFinal(answer) || ctx.Err() != nil {
		return answer
	}
	return d.acceptDurable(ctx, req, answer)
}

// acceptDurable stores a request in the platform. The answer is that the request
// was accepted only if the platform has confirmed it, and otherwise the answer
// of the failed run, or an unknown outcome if the platform may have stored it.
func (d *Daemon) acceptDurable(ctx context.Context, req *request.Request, answer request.Answer) request.Answer {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	data, err := json.Marshal(report.New(req, time.Now()))
	if err != nil || len(data) > platform.MaxObjectBytes {
		return answer
	}
	name := strings.ToLower(req.ID)
	stored, sent := d.storeReport(ctx, name, data)
	d.log.Info().Str("event", "report.decision").Str("request", req.ID).Str("service", req.Service).
		Bool("stored", stored).Str("reason", string(answer.Reason)).Send()
	switch {
	case stored:
		return request.Answer{Outcome: request.OutcomeAccepted, Reason: request.ReasonStored, Report: name}
	case sent:
		unknown := request.UnknownAnswer(request.ReasonStoreUnknown, "platform did not confirm that it stored the request")
		unknown.Report = name
		return unknown
	}
	return answer
}

// storeReport stores a request as a new object in the platform. An object that
// already exists comes from an earlier write whose answer was lost, since names
// are unique per request. The results are whether the object is stored, and
// whether the platform may have received it.
func (d *Daemon) storeReport(ctx context.Context, name string, data []byte) (stored, sent bool) {
	_, err := d.platformWriter.Put(ctx, platform.KindReport, name, 0, data)
	var unknown *platformwrite.UnknownOutcomeError
	if errors.As(err, &unknown) {
		return false, true
	}
	var conflict *platform.ConflictError
	stored = err == nil || errors.As(err, &conflict)
	return stored, stored
}

// handleReport answers a caller's query for the outcome of an accepted request.
func (d *Daemon) handleReport(w http.ResponseWriter, r *http.Request) {
	defer d.requests.Begin()()
	name := r.PathValue("id")
	answer := d.readReport(r.Context(), name)
	writeAnswer(w, d.self.ID, "", "", answer)
}

// readReport returns the answer of an accepted request, or that it is still
// accepted, or that there is no such request.
func (d *Daemon) readReport(ctx context.Context, name string) request.Answer {
	// An answer is written before its request is deleted. So if neither is
	// found, the request may have been answered in between, and the answer is
	// read once more.
	kinds := []string{platform.KindReportAnswer, platform.KindReport, platform.KindReportAnswer}
	for _, kind := range kinds {
		obj, err := d.platform.Get(ctx, kind, name)
		switch {
		case errors.Is(err, platform.ErrNotFound):
			continue
		case err != nil:
			return request.UnknownAnswer(request.ReasonStoreUnknown, "platform could not be read for the outcome of the request")
		case kind == platform.KindReport:
			return request.Answer{Outcome: request.OutcomeAccepted, Reason: request.ReasonStored, Report: name}
		}
		answer, err := report.DecodeAnswer(obj.Data)
		if err != nil {
			return request.UnknownAnswer(request.ReasonBadAnswer, err.Error())
		}
		return answer.Answer()
	}
	return request.NotRunAnswer(request.ReasonUnknownReport, name)
}

// runStoredReports runs accepted requests, which the platform stores as objects
// of KindReport, and deletes expired answers while this daemon holds the duty,
// until ctx ends.
func (d *Daemon) runStoredReports(ctx context.Context) error {
	w := &reportWorker{daemon: d, slots: make(chan struct{}, maxReportRuns), running: newNameSet()}
	var lastSweep time.Time
	for sleep.For(ctx, reportPollPeriod) {
		if !d.holdsReportDuty() {
			continue
		}
		if err := w.startDue(ctx); err != nil && ctx.Err() == nil {
			d.log.Warn().Str("event", "report.platform").Err(err).Send()
			continue
		}
		if time.Since(lastSweep) > sweepPeriod {
			lastSweep = time.Now()
			w.deleteExpiredAnswers(ctx)
		}
	}
	return nil
}

// holdsReportDuty reports whether this daemon holds the duty of running
// accepted requests and may act on it.
func (d *Daemon) holdsReportDuty() bool {
	holder, ok := duty.Holder(d.view.Load(), reportsDuty, "")
	return ok && holder.ID == d.self.ID && d.confirmed() && !d.leaving.Load()
}

// usableIncarnation reports whether an incarnation belongs to a usable member.
func (d *Daemon) usableIncarnation(incarnation string) bool {
	m, ok := d.view.Load().ByIncarnation(incarnation)
	return ok && m.Usable()
}

// reportWorker runs accepted requests. Each run uses one slot; running holds
// the names of the requests that run.
type reportWorker struct {
	daemon  *Daemon
	slots   chan struct{}
	running *nameSet
}

// startDue starts the accepted requests that are due, as long as slots are free.
func (w *reportWorker) startDue(ctx context.Context) error {
	list, err := w.daemon.platform.List(ctx, platform.KindReport)
	if err != nil {
		return err
	}
	for _, obj := range list.Objects {
		record, err := report.Decode(obj.Data)
		if err != nil {
			w.daemon.log.Error().Str("event", "report.invalid").Str("report", obj.Name).Err(err).Send()
			continue
		}
		if !record.Due(w.daemon.self.Incarnation, w.daemon.usableIncarnation, time.Now()) || !w.running.add(obj.Name) {
			continue
		}
		select {
		case w.slots <- struct{}{}:
			go w.run(ctx, obj, record)
		default:
			w.running.remove(obj.Name)
			return nil
		}
	}
	return nil
}

// run runs one accepted request under a lease. It stores a final answer, and
// otherwise schedules the next attempt.
func (w *reportWorker) run(ctx context.Context, obj platform.Object, record report.Record) {
	defer w.daemon.runs.Begin()()
	defer func() {
		w.running.remove(obj.Name)
		<-w.slots
	}()
	if _, err := w.daemon.platform.Get(ctx, platform.KindReportAnswer, obj.Name); err == nil {
		w.deleteReport(ctx, obj.Name, obj.Version)
		return
	}
	service := w.daemon.catalogue.Load().Service(record.Service)
	if service == nil {
		return
	}
	leased := record.WithLease(w.daemon.self.Incarnation, time.Duration(service.Class.Deadline), time.Now())
	version, err := w.putRecord(ctx, obj.Name, obj.Version, leased)
	if err != nil {
		return
	}
	answer := w.tryRun(ctx, service, record)
	if report.IsFinal(answer) {
		w.storeAnswer(ctx, obj.Name, version, answer)
		return
	}
	_, _ = w.putRecord(ctx, obj.Name, version, leased.AfterFailure(time.Now()))
}

// tryRun makes one attempt to run an accepted request.
func (w *reportWorker) tryRun(ctx context.Context, service *catalogue.Service, record report.Record) request.Answer {
	req := record.Request(rand.Text())
	applyServiceClass(req, service, time.Now())
	answer := w.daemon.admitAndRoute(ctx, w.daemon.catalogue.Load(), req)
	w.daemon.log.Info().Str("event", "report.run").Str("request", req.ID).Str("service", record.Service).
		Int("attempt", record.Attempts).Str("outcome", string(answer.Outcome)).Str("reason", string(answer.Reason)).Send()
	return answer
}

// storeAnswer stores the answer of a request in the platform and then deletes
// the request. An answer that is too large is replaced by an unknown outcome.
func (w *reportWorker) storeAnswer(ctx context.Context, name string, version uint64, answer request.Answer) {
	data, err := json.Marshal(report.NewAnswer(answer, time.Now()))
	if err == nil && len(data) > platform.MaxObjectBytes {
		answer.Body, answer.Outcome, answer.Reason = nil, request.OutcomeUnknown, request.ReasonTooLarge
		data, err = json.Marshal(report.NewAnswer(answer, time.Now()))
	}
	if err != nil {
		w.daemon.log.Error().Str("event", "report.encode").Str("report", name).Err(err).Send()
		return
	}
	// A conflict means that another worker has already stored an answer.
	_, err = w.daemon.platformWriter.Put(ctx, platform.KindReportAnswer, name, 0, data)
	var conflict *platform.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		return
	}
	w.deleteReport(ctx, name, version)
}

// deleteReport deletes a request that has been answered. If that fails, a later
// run finds the answer and deletes the request.
func (w *reportWorker) deleteReport(ctx context.Context, name string, version uint64) {
	if _, err := w.daemon.platform.Delete(ctx, platform.KindReport, name, version); err != nil {
		w.daemon.log.Debug().Str("event", "report.not-deleted").Str("report", name).Err(err).Send()
	}
}

// putRecord writes the record of a request if the platform still has the given
// version of it, and returns the new version.
func (w *reportWorker) putRecord(ctx context.Context, name string, version uint64, record report.Record) (uint64, error) {
	data, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	return w.daemon.platform.Put(ctx, platform.KindReport, name, version, data)
}

func (w *reportWorker) deleteExpiredAnswers(ctx context.Context) {
	list, err := w.daemon.platform.List(ctx, platform.KindReportAnswer)
	if err != nil {
		return
	}
	for _, obj := range list.Objects {
		answer, err := report.DecodeAnswer(obj.Data)
		if err != nil || !answer.Expired(time.Now()) {
			continue
		}
		_, _ = w.daemon.platform.Delete(ctx, platform.KindReportAnswer, obj.Name, obj.Version)
	}
}

// setReportHeaders sets the headers that tell the caller the name of an accepted
// request and where to ask for its outcome.
func setReportHeaders(h http.Header, name string) {
	if name == "" {
		return
	}
	h.Set(callerapi.HeaderReport, name)
	h.Set("Location", callerapi.PathReports+name)
}
