package daemon

import (
	"context"
	"net/http"
	"time"

	"bilberrytiller.example/tiller/protocol/wire"
	"bilberrytiller.example/tiller/transport/peer"
)

// registerCalls names the handler of each call that peers may make.
func (d *Daemon) registerCalls() {
	peer.Handle(d.peerServe, wire.TypeHello, d.answerHello)
	peer.Handle(d.peerServe, wire.TypeRun, d.answerRun)
	peer.Handle(d.peerServe, wire.TypeDispatch, d.answerDispatch)
	peer.Handle(d.peerServe, wire.TypeSuspect, d.answerSuspect)
	peer.Handle(d.peerServe, wire.TypeClaim, d.answerClaim)
	peer.Handle(d.peerServe, wire.TypeFacts, d.answerFacts)
	peer.Handle(d.peerServe, wire.TypeCompare, d.answerCompare)
	peer.Handle(d.peerServe, wire.TypeFetch, d.answerFetch)
}

func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, d.peerServe)
	return mux
}

// answerRun runs a request whose key this daemon owns.
func (d *Daemon) answerRun(ctx context.Context, _ string, in *wire.Run) (*wire.Answered, error) {
	defer d.inFlight.begin()()
	req := in.Request.Open(time.Now())
	return &wire.Answered{Answer: d.runOwned(ctx, req)}, nil
}
