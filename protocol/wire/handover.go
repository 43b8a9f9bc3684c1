package wire

import "bilberrytiller.example/tiller/coordination/permit"

// TypeHandover transfers a part of a stopping daemon's keys to its successor.
const TypeHandover Type = "handover"

// Handover is the body of TypeHandover. It carries one chunk of the transfer.
type Handover struct {
	Chunk permit.Chunk `cbor:"c"`
}

// HandoverReply is the reply to Handover.
type HandoverReply struct {
	Receipt permit.Receipt `cbor:"r"`
}
