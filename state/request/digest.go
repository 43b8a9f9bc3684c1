package request

import "crypto/sha256"

// Digest returns a hash of a request's content: its parts, such as service and
// path, and its body.
func Digest(body []byte, parts ...string) [sha256.Size]byte {
	return DigestPieces([][]byte{body}, parts...)
}

// DigestPieces returns the Digest of a request whose body is in pieces.
func DigestPieces(body [][]byte, parts ...string) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range parts {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	for _, piece := range body {
		h.Write(piece)
	}
	return [sha256.Size]byte(h.Sum(nil))
}
