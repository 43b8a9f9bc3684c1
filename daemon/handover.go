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

// factSuccession is the kind of the facts that say which incarnation took
// the keys of another over. The key is the old incarnation, the body the new.
const factSuccession spread.Kind = "succession"

const (
	// maxHandoverAttempts bounds the tries to hand the keys over.
	maxHandoverAttempts = 5
	handoverTimeout     = 2 * time.Second
	handoverRetryDelay  = 200 * time.Millisecond
	// awaitRunsFraction is the part of the stop timeout that runs may use before
	// the keys are handed over: the rest is for the transfer.
	awaitRunsFraction = 0.75
)

// ErrNoSuccessor says that no daemon can take the keys over.
var ErrNoSuccessor = errors.New("no usable daemon to hand keys over to")

// handOverKeys gives the keys to one successor. After it no key is run here. A
// stop goes on also if nobody took them.
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

// freezeKeys freezes the keys and waits for the runs that are left, as long
// as the stop timeout leaves time to hand the keys over.
func (d *Daemon) freezeKeys(ctx context.Context) {
	share := time.Duration(float64(d.settings.StopTimeout) * awaitRunsFraction)
	ctx, cancel := context.WithTimeout(ctx, share)
	defer cancel()
	select {
	case <-d.keys.Freeze():
	case <-ctx.Done():
	}
}

// latestKeyExpiry bounds the expiry of all keys that name this incarnation.
func (d *Daemon) latestKeyExpiry() time.Time {
	return time.Now().Add(d.settings.KeyTTL + d.settings.LookupTTL)
}

// tryTransfer sends the keys to the successor once.
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

// chooseSuccessor returns the member chosen before, or else the one that the view
// gives the duty to.
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

// publishSuccessor makes the succession known before this daemon goes away.
func (d *Daemon) publishSuccessor(t *permit.Transfer) {
	to, _ := t.Successor()
	h := t.Handover()
	d.publishAndWait(successionFact(h, to))
	d.log.Info().Str("event", "keys.handed-over").Str("successor", to).Int("keys", len(h.Records)).Send()
}

func successionFact(h permit.Handover, to string) spread.Fact {
	return spread.Fact{
		ID:        spread.ID{Kind: factSuccession, Key: h.From},
		Version:   1,
		ExpiresMs: h.Expires().Add(permit.ExpiryMargin).UnixMilli(),
		Body:      []byte(to),
	}
}

// answerHandover takes a part of another daemon's keys.
func (d *Daemon) answerHandover(_ context.Context, from string, in *wire.Handover) (*wire.HandoverReply, error) {
	receipt, whole, err := d.handoverReceiver.Accept(in.Chunk, time.Now())
	if err != nil {
		return nil, err
	}
	if whole != nil {
		d.log.Info().Str("event", "keys.taken-over").Str("peer", from).
			Str("incarnation", whole.From).Int("keys", len(whole.Records)).Send()
		d.publishAndWait(successionFact(*whole, d.self.Incarnation))
	}
	return &wire.HandoverReply{Receipt: receipt}, nil
}

// applySuccessions records where the keys of stopped daemons went.
func (d *Daemon) applySuccessions(facts []spread.Fact) {
	now := time.Now()
	for _, f := range facts {
		err := d.keySuccessors.Record(f.ID.Key, string(f.Body), time.UnixMilli(f.ExpiresMs), now)
		if err != nil {
			d.log.Error().Str("event", "keys.succession").Err(err).Send()
		}
	}
}

// forwardAfterHandover takes a request that came while the keys were handed over
// to the successor.
func (d *Daemon) forwardAfterHandover(ctx context.Context, key permit.Key, req *request.Request, hops int) request.Answer {
	select {
	case <-d.handedOver:
	case <-ctx.Done():
		return request.UnknownAnswer(request.ReasonStopping, "keys are being handed over")
	}
	return d.forwardToOwner(ctx, key, req, hops)
}
