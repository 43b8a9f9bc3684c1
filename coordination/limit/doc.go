// Package limit divides a limit that is shared by all daemons among them. The
// sum of what the daemons use never exceeds the limit, even if their views of
// each other differ.
//
// A limit is a number of units. Shares, which are stored in the platform,
// record which daemon owns which units. Ownership is a long lease, so that it
// outlasts an outage of the platform. A Quota is the part of one limit that
// one daemon may use: the units that it owns, less those that it has lent to
// peers, plus those that it has borrowed from them. A lender subtracts the
// units before it answers, counts the loan from its answer, and has the units
// back when the loan ends. The borrower counts the loan from its request,
// which is earlier, so no unit is used by both. Units return to the lender
// even if no message arrives.
package limit
