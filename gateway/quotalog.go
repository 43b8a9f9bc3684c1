package gateway

import (
	"sync"
	"time"
)

const (
	// unlimitedAfter is the time without a refusal after which an organisation is no
	// longer limited.
	unlimitedAfter = 5 * time.Second
	// maxLimitedOrganisations bounds the organisations whose refusals are tracked.
	maxLimitedOrganisations = 1000
)

// limitedOrganisations logs when an organisation begins to exceed its quota and when it
// no longer does.
type limitedOrganisations struct {
	log *requestLogger

	mu      sync.Mutex
	entries map[string]*limitedOrganisation
}

type limitedOrganisation struct {
	first, last time.Time
	refused     int
}

// recordRefusal counts a request above its organisation's quota.
func (l *limitedOrganisations) recordRefusal(organisation string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[organisation]
	if e == nil {
		if len(l.entries) >= maxLimitedOrganisations {
			return
		}
		e = &limitedOrganisation{first: now}
		l.entries[organisation] = e
		l.log.newEvent("quota.limited", true).Str("organisation", organisation).Send()
	}
	e.last = now
	e.refused++
}

// sweep forgets the organisations that are no longer limited.
func (l *limitedOrganisations) sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for organisation, e := range l.entries {
		if now.Sub(e.last) < unlimitedAfter {
			continue
		}
		delete(l.entries, organisation)
		l.log.newEvent("quota.unlimited", true).Str("organisation", organisation).Int("refused", e.refused).
			Dur("limited_ms", e.last.Sub(e.first)).Send()
	}
}
