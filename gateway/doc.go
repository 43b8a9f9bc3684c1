// Package gateway is the HTTP data plane of a host. It accepts client requests,
// forwards each to a backend server, and returns the server's response. It also
// answers the directory look-ups by which clients find a host, follows the state
// in the operators' platform, and stops gracefully, without dropping requests.
//
// A request that the gateway itself refuses with 503 has not run and will not
// run. A request that may have run and did not get a complete response ends with
// 502, or with 504 at its timeout. Other responses of backend servers, also those
// with an error status, are forwarded as they are.
package gateway
