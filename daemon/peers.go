package daemon

import (
	"net/http"

	"bilberrytiller.example/tiller/protocol/wire"
	"bilberrytiller.example/tiller/transport/peer"
)

// registerCalls names the handler of each call that peers may make.
func (d *Daemon) registerCalls() {
	peer.Handle(d.peerServe, wire.TypeHello, d.answerHello)
	peer.Handle(d.peerServe, wire.TypeRun, overLink(d, d.answerRun))
	peer.Handle(d.peerServe, wire.TypeDispatch, overLink(d, d.answerDispatch))
	peer.Handle(d.peerServe, wire.TypeHandover, d.answerHandover)
	peer.Handle(d.peerServe, wire.TypeRunSuspect, overLink(d, d.answerSuspect))
	peer.Handle(d.peerServe, wire.TypeClaim, d.answerClaim)
	peer.Handle(d.peerServe, wire.TypeFacts, d.answerFacts)
	peer.Handle(d.peerServe, wire.TypeCompare, d.answerCompare)
	peer.Handle(d.peerServe, wire.TypeFetch, d.answerFetch)
	peer.Handle(d.peerServe, wire.TypeBorrow, d.limits.answerBorrow)
}

func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, d.peerServe)
	return mux
}
