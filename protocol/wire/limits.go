package wire

import "time"

// TypeBorrow asks a daemon to lend units of a limit.
const TypeBorrow Type = "borrow"

// Borrow asks for units of a limit. Sequence numbers of one borrower increase,
// so that a delayed call can be told from a newer one.
type Borrow struct {
	Group string `cbor:"g"`
	Limit string `cbor:"l"`
	// Borrower is the incarnation that asks.
	Borrower string `cbor:"b"`
	Seq      uint64 `cbor:"s"`
	// Want is the total number of units that the borrower wants to have on loan
	// from the lender.
	Want int `cbor:"w"`
}

// BorrowReply is the reply to Borrow.
type BorrowReply struct {
	Units int `cbor:"u"`
	// Renewed says whether the loan was renewed. If not, an earlier loan ends at
	// its original time.
	Renewed bool `cbor:"x,omitempty"`
	// TTL is the duration of the loan, counted from the sending of the call.
	TTL time.Duration `cbor:"f"`
}
