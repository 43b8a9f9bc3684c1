package wire

import "bilberrytiller.example/tiller/coordination/permit"

// TypeHandover gives the successor of a stopping daemon a part of its keys.
const TypeHandover Type = "handover"

// Handover carries one chunk of a hand-over.
type Handover struct {
	Chunk permit.Chunk `cbor:"c"`
}

// HandoverReply is the answer to Handover.
type HandoverReply struct {
	Receipt permit.Receipt `cbor:"r"`
}
