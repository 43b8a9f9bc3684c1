package request

import "crypto/sha256"

// Digest returns a hash of a request's content: its parts, such as service and
// path, and its body.
func Digest(body []byte, parts ...string) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range parts {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return [sha256.Size]byte(h.Sum(nil))
}
