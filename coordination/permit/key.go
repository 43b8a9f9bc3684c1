// Package permit ensures that a non-idempotent request runs at most once.
//
// Each such request carries a key, which names the only incarnation of a
// daemon that may run it. All daemons share a secret, so any of them can issue
// and check keys. Only the named incarnation, or the single successor that
// took over its table, runs the request. A daemon that cannot reach the owner
// of a key answers that the outcome is unknown: it does not run the request,
// and it does not report that the request did not run.
package permit

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

const (
	nonceBytes = 16
	macBytes   = 16
	keyVersion = "k1"
	keyParts   = 5
	// MaxKeyBytes is the maximum length of a key that is parsed.
	MaxKeyBytes = 256
)

// Errors returned by Parse.
var (
	// ErrMalformed means that a text does not have the format of a key.
	ErrMalformed = errors.New("malformed key")
	// ErrInvalidSignature means that a key was not signed with this secret.
	ErrInvalidSignature = errors.New("key signature is invalid")
)

// Key allows one request to run at most once.
type Key struct {
	// Owner is the incarnation that may run the request.
	Owner string
	// Expires is the time from which no daemon accepts the key.
	Expires time.Time
	nonce   string
	mac     string
}

// Issuer issues keys and checks their signatures. It is safe for concurrent
// use.
type Issuer struct {
	secret []byte
	random io.Reader
}

// NewIssuer returns an issuer with the secret that all daemons share and a
// source of random bytes.
func NewIssuer(secret []byte, random io.Reader) *Issuer {
	return &Issuer{secret: secret, random: random}
}

// Issue returns a new key for the given owner. The expiry is truncated to
// seconds.
func (i *Issuer) Issue(owner string, expires time.Time) (Key, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(i.random, nonce); err != nil {
		return Key{}, fmt.Errorf("generating key nonce: %w", err)
	}
	k := Key{Owner: owner, Expires: expires.Truncate(time.Second), nonce: encode(nonce)}
	k.mac = i.sign(k)
	return k, nil
}

// Parse decodes a key and checks its signature. It does not check its expiry.
func (i *Issuer) Parse(text string) (Key, error) {
	parts := strings.Split(text, ".")
	if len(text) > MaxKeyBytes || len(parts) != keyParts || parts[0] != keyVersion {
		return Key{}, ErrMalformed
	}
	seconds, err := strconv.ParseInt(parts[2], 36, 64)
	if err != nil {
		return Key{}, fmt.Errorf("key expiry: %w", ErrMalformed)
	}
	k := Key{Owner: parts[1], Expires: time.Unix(seconds, 0), nonce: parts[3], mac: parts[4]}
	if !hmac.Equal([]byte(k.mac), []byte(i.sign(k))) {
		return Key{}, ErrInvalidSignature
	}
	return k, nil
}

// String returns the key in the form in which callers send it.
func (k Key) String() string { return k.payload() + "." + k.mac }

// Expired reports whether the key has expired at the given time.
func (k Key) Expired(now time.Time) bool { return !now.Before(k.Expires) }

func (k Key) payload() string {
	expiry := strconv.FormatInt(k.Expires.Unix(), 36)
	return strings.Join([]string{keyVersion, k.Owner, expiry, k.nonce}, ".")
}

func (i *Issuer) sign(k Key) string {
	mac := hmac.New(sha256.New, i.secret)
	mac.Write([]byte(k.payload()))
	return encode(mac.Sum(nil)[:macBytes])
}

func encode(b []byte) string { return base64.RawURLEncoding.EncodeToString(b) }
