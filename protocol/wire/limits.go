package wire

import "time"

// TypeBorrow asks a daemon to lend units of a limit.
const TypeBorrow Type = "borrow"

// Borrow asks for units of a limit. Numbers of one borrower's questions grow,
// so that a late one is told from a newer one.
type Borrow struct {
	Group string `cbor:"g"`
	Limit string `cbor:"l"`
	// Borrower is the incarnation that asks.
	Borrower string `cbor:"b"`
	Seq      uint64 `cbor:"s"`
	// Want is how many units the borrower wants to have of the lender in all.
	Want int `cbor:"w"`
}

// BorrowReply is the answer to Borrow.
type BorrowReply struct {
	Units int `cbor:"u"`
	// Renewed says that the loan is renewed; if not, an earlier one ends when
	// it would have ended.
	Renewed bool `cbor:"x,omitempty"`
	// TTL is how long the loan lasts from the question.
	TTL time.Duration `cbor:"f"`
}
