// Package limit decides how much of a limit that the whole fleet shares each
// daemon may use, so that the sum never passes the limit whatever daemons
// believe of each other.
//
// A limit is a number of units. Shares, kept in the platform, say which
// daemon owns which units; ownership is a long lease, so that it outlasts an
// outage of the platform. An Account is one daemon's side of one limit: the
// units it owns, those it has lent to peers and those it has borrowed from
// them. A lender subtracts units before it answers, counts the loan from its
// answer, and has them back when the loan is over. The borrower counts the
// loan from its question, which is earlier, so that no unit is used by both.
// No message has to arrive for units to return.
package limit
