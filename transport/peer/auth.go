package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strconv"
	"strings"
	"time"
)

// HeaderAuth carries the token that proves that a peer or operator knows the
// secret.
const HeaderAuth = "Tiller-Auth"

// maxClockSkew is the largest accepted difference between the clocks of two hosts.
const maxClockSkew = 2 * time.Minute

// ErrAuth means that a token is malformed, was made with another secret or is
// outside the accepted clock skew.
var ErrAuth = errors.New("not authenticated: the secrets differ, or the clocks differ by more than 2 minutes")

// Auth creates and verifies tokens with a shared secret.
type Auth struct {
	id     string
	secret []byte
}

// NewAuth returns an Auth for the daemon or operator with the given name.
func NewAuth(id string, secret []byte) *Auth { return &Auth{id: id, secret: secret} }

// Token returns a token that is valid for maxClockSkew before and after now.
func (a *Auth) Token(now time.Time) string {
	seconds := strconv.FormatInt(now.Unix(), 10)
	return a.id + "." + seconds + "." + a.mac(a.id, seconds)
}

// Check verifies a token and returns the name in it, or ErrAuth.
func (a *Auth) Check(token string, now time.Time) (string, error) {
	parts := strings.Split(token, ".")
	if len(parts) != 3 {
		return "", ErrAuth
	}
	if !hmac.Equal([]byte(parts[2]), []byte(a.mac(parts[0], parts[1]))) {
		return "", ErrAuth
	}
	seconds, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil || now.Sub(time.Unix(seconds, 0)).Abs() > maxClockSkew {
		return "", ErrAuth
	}
	return parts[0], nil
}

func (a *Auth) mac(id, seconds string) string {
	mac := hmac.New(sha256.New, a.secret)
	mac.Write([]byte("peer." + id + "." + seconds))
	return hex.EncodeToString(mac.Sum(nil))
}
