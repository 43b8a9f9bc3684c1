package daemon

import (
	"context"
	"errors"
	"time"

	"bilberrytiller.example/tiller/coordination/duty"
	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/coordination/permit"
	"bilberrytiller.example/tiller/coordination/spread"
	"bilberrytiller.example/tiller/internal/sleep"
	"bilberrytiller.example/tiller/protocol/wire"
	"bilberrytiller.example/tiller/state/request"
	"bilberrytiller.example/tiller/transport/peer"
)

// factSuccession is the kind of the facts that name the successor of a
// daemon's keys. The fact's key is the incarnation that stopped, the body the
// incarnation that took over its keys.
const factSuccession spread.Kind = "succession"

const (
	// maxHandoverAttempts is the maximum number of attempts to transfer the
	// keys.
	maxHandoverAttempts = 5
	handoverTimeout     = 2 * time.Second
	handoverRetryDelay  = 200 * time.Millisecond
	// awaitRunsFraction is the fraction of the stop timeout for which runs may
	// continue before the keys are transferred, counted from the start of this
	// step. The rest is for the transfer, unless the wait for look-ups to
	// expire has used it up.
	awaitRunsFraction = 0.75
)

// ErrNoSuccessor means that no daemon can take over the keys.
var ErrNoSuccessor = errors.New("no usable daemon to hand keys over to")

// handOverKeys transfers the keys to one successor. Afterwards this daemon
// starts no run of a request with a key. It always returns nil, so that the
// stop continues even if no daemon took over the keys.
func (d *Daemon) handOverKeys(ctx context.Context) error {
	defer close(d.handedOver)
	d.freezeKeys(ctx)
	transfer := permit.NewTransfer(d.keys.Export(d.latestKeyExpiry()))
	var err error
	for range maxHandoverAttempts {
		if err = d.tryTransfer(ctx, transfer); transfer.Complete() {
			d.publishSuccessor(transfer)
			return nil
		}
		if !sleep.For(ctx, handoverRetryDelay) {
			break
		}
	}
	d.log.Error().Str("event", "keys.not-handed-over").Int("keys", d.keys.Len()).Err(err).Send()
	return nil
}

// freezeKeys freezes the keys and waits for the remaining runs, for at most
// awaitRunsFraction of the stop timeout.
func (d *Daemon) freezeKeys(ctx context.Context) {
	timeout := time.Duration(float64(d.settings.StopTimeout) * awaitRunsFraction)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case <-d.keys.Freeze():
	case <-ctx.Done():
	}
}

// latestKeyExpiry returns an upper bound on the expiry of all keys that name
// this incarnation.
func (d *Daemon) latestKeyExpiry() time.Time {
	return time.Now().Add(d.settings.KeyTTL + d.settings.LookupTTL)
}

// tryTransfer makes one attempt to send the keys to the successor.
func (d *Daemon) tryTransfer(ctx context.Context, t *permit.Transfer) error {
	to, err := d.chooseSuccessor(t)
	if err != nil {
		return err
	}
	for _, chunk := range t.ChooseSuccessor(to.Incarnation) {
		receipt, err := d.sendChunk(ctx, to, chunk)
		if err != nil {
			return err
		}
		t.RecordReceipt(to.Incarnation, receipt)
		if receipt.Complete || receipt.Refused {
			return nil
		}
	}
	return nil
}

// chooseSuccessor returns the successor that was chosen before, or else the
// member to which the current view assigns this duty.
func (d *Daemon) chooseSuccessor(t *permit.Transfer) (membership.Member, error) {
	view := d.view.Load()
	if chosen, ok := t.Successor(); ok {
		if m, ok := view.ByIncarnation(chosen); ok {
			return m, nil
		}
		return membership.Member{}, ErrNoSuccessor
	}
	var candidates []membership.Member
	for _, m := range view.Members() {
		if m.ID != d.self.ID && m.Incarnation != "" && !t.Refused(m.Incarnation) {
			candidates = append(candidates, m)
		}
	}
	name := string(factSuccession) + "/" + d.self.Incarnation
	to, ok := duty.Holder(membership.NewView(d.self, candidates), name, d.self.Region)
	if !ok {
		return membership.Member{}, ErrNoSuccessor
	}
	return to, nil
}

func (d *Daemon) sendChunk(ctx context.Context, to membership.Member, chunk permit.Chunk) (permit.Receipt, error) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	out, err := peer.Call[wire.HandoverReply](ctx, d.peerClient, to.Peer, wire.TypeHandover, &wire.Handover{Chunk: chunk})
	if err != nil {
		return permit.Receipt{}, err
	}
	return out.Receipt, nil
}

// publishSuccessor tells the fleet which daemon took over the keys, before
// this daemon exits.
func (d *Daemon) publishSuccessor(t *permit.Transfer) {
	to, _ := t.Successor()
	h := t.Handover()
	d.publishAndWait(successionFact(h, to))
	d.log.Info().Str("event", "keys.handed-over").Str("successor", to).Int("keys", len(h.Records)).Send()
}

// successionFact returns the fact that names the successor of a daemon's keys.
// It outlives the keys.
func successionFact(h permit.Handover, to string) spread.Fact {
	return spread.Fact{
		ID:        spread.ID{Kind: factSuccession, Key: h.From},
		Version:   1,
		ExpiresMs: h.Expires().Add(permit.ExpiryMargin).UnixMilli(),
		Body:      []byte(to),
	}
}

// answerHandover receives a chunk of another daemon's keys.
func (d *Daemon) answerHandover(_ context.Context, from string, in *wire.Handover) (*wire.HandoverReply, error) {
	receipt, handover, err := d.handoverReceiver.Accept(in.Chunk, time.Now())
	if err != nil {
		return nil, err
	}
	if handover != nil {
		d.log.Info().Str("event", "keys.taken-over").Str("peer", from).
			Str("incarnation", handover.From).Int("keys", len(handover.Records)).Send()
		d.publishAndWait(successionFact(*handover, d.self.Incarnation))
	}
	return &wire.HandoverReply{Receipt: receipt}, nil
}

// applySuccessionFacts records the successors of the keys of stopped daemons.
func (d *Daemon) applySuccessionFacts(facts []spread.Fact) {
	now := time.Now()
	for _, f := range facts {
		err := d.keySuccessors.Record(f.ID.Key, string(f.Body), time.UnixMilli(f.ExpiresMs), now)
		if err != nil {
			d.log.Error().Str("event", "keys.succession").Err(err).Send()
		}
	}
}

// forwardAfterHandover forwards a request that arrived while the keys were
// frozen, once the handover has ended.
func (d *Daemon) forwardAfterHandover(ctx context.Context, key permit.Key, req *request.Request, hops int) request.Answer {
	select {
	case <-d.handedOver:
	case <-ctx.Done():
		return request.UnknownAnswer(request.ReasonStopping, "keys are being handed over")
	}
	return d.forwardToOwner(ctx, key, req, hops)
}
