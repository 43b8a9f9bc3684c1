// Package gateway joins the decisions about clients' requests to their
// inputs and outputs: it takes requests, sends each to a backend server, and
// gives the server's answer back. It answers where clients connect, follows
// the operators' platform, and stops without cutting a request.
//
// A request that is refused with 429 or 503 has not run and will not. One
// that may have run and was not answered whole ends with 502, or with 504 at
// its timeout.
package gateway
