package daemon

import (
	"net/http"

	"bilberrytiller.example/tiller/protocol/wire"
	"bilberrytiller.example/tiller/transport/peer"
)

// registerPeerHandlers sets the handler of each type of call that peers make.
func (d *Daemon) registerPeerHandlers() {
	peer.Handle(d.peerServer, wire.TypeHello, d.answerHello)
	peer.Handle(d.peerServer, wire.TypeRun, limitAnswerBandwidth(d, d.answerRun))
	peer.Handle(d.peerServer, wire.TypeDispatch, limitAnswerBandwidth(d, d.answerDispatch))
	peer.Handle(d.peerServer, wire.TypeHandover, d.answerHandover)
	peer.Handle(d.peerServer, wire.TypeRunSuspect, limitAnswerBandwidth(d, d.answerRunSuspect))
	peer.Handle(d.peerServer, wire.TypeClaim, d.answerClaim)
	peer.Handle(d.peerServer, wire.TypeFacts, d.answerFacts)
	peer.Handle(d.peerServer, wire.TypeCompare, d.answerCompare)
	peer.Handle(d.peerServer, wire.TypeFetch, d.answerFetch)
	peer.Handle(d.peerServer, wire.TypeBorrow, d.limits.answerBorrow)
}

func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, d.peerServer)
	return mux
}
