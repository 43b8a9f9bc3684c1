// Package permit decides whether a non-idempotent request may run.
//
// A key names the one incarnation of one daemon that may run the request it
// is sent with. Any daemon can issue and check keys, since all share a
// secret; only the named incarnation, or the one successor it handed its
// table to, runs them. A daemon that cannot reach the owner of a key answers
// that the outcome is unknown: it neither runs the request nor says that it
// did not run.
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
	// MaxKeyBytes is the longest key that is parsed.
	MaxKeyBytes = 256
)

// Errors of Parse.
var (
	// ErrMalformed says that a text is no key.
	ErrMalformed = errors.New("malformed key")
	// ErrInvalidSignature says that a key was not issued with this secret.
	ErrInvalidSignature = errors.New("key has a wrong signature")
)

// Key is a permit to run one request at most once.
type Key struct {
	// Owner is the incarnation that may run the request.
	Owner string
	// Expires is when the key stops being accepted anywhere.
	Expires time.Time
	nonce   string
	mac     string
}

// Issuer issues and checks keys. It is safe for concurrent use.
type Issuer struct {
	secret []byte
	random io.Reader
}

// NewIssuer returns an issuer with a secret that all daemons share and a
// source of random bytes.
func NewIssuer(secret []byte, random io.Reader) *Issuer {
	return &Issuer{secret: secret, random: random}
}

// Issue returns a new key for the given owner.
func (i *Issuer) Issue(owner string, expires time.Time) (Key, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(i.random, nonce); err != nil {
		return Key{}, fmt.Errorf("key nonce: %w", err)
	}
	k := Key{Owner: owner, Expires: expires.Truncate(time.Second), nonce: encode(nonce)}
	k.mac = i.sign(k)
	return k, nil
}

// Parse reads a key and checks its signature, not its expiry.
func (i *Issuer) Parse(text string) (Key, error) {
	parts := strings.Split(text, ".")
	if len(text) > MaxKeyBytes || len(parts) != keyParts || parts[0] != keyVersion {
		return Key{}, ErrMalformed
	}
	seconds, err := strconv.ParseInt(parts[2], 36, 64)
	if err != nil {
		return Key{}, fmt.Errorf("expiry: %w", ErrMalformed)
	}
	k := Key{Owner: parts[1], Expires: time.Unix(seconds, 0), nonce: parts[3], mac: parts[4]}
	if !hmac.Equal([]byte(k.mac), []byte(i.sign(k))) {
		return Key{}, ErrInvalidSignature
	}
	return k, nil
}

// String returns the key as callers send it.
func (k Key) String() string { return k.payload() + "." + k.mac }

// Expired reports whether the key is past its expiry.
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
