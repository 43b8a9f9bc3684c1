package rig

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"
)

// NewID returns the ID of a client attempt.
func NewID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// Answer is what a client got.
type Answer struct {
	// Status is 0 if the connection ended without an answer.
	Status int
	Header http.Header
	Body   []byte
}

// Send makes one client attempt on a new connection to a daemon.
func Send(d *Daemon, method, host, target, id string, body []byte, budget time.Duration) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+d.Frontend+target, bytes.NewReader(body))
	req.Host = host
	req.Header.Set("X-Bilberrytiller-Attempt-Id", id)
	req.Header.Set("X-Bilberrytiller-Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return Answer{}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{}
	}
	return Answer{resp.StatusCode, resp.Header, text}
}
