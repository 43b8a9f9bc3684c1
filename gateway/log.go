package gateway

import (
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

const (
	// answeredLinesPerSecond and failedLinesPerSecond limit the log lines about
	// single requests: those about answered requests, and those about requests
	// and sends that failed.
	answeredLinesPerSecond = 200
	failedLinesPerSecond   = 500
)

// requestLogger writes log lines about single requests and limits their rate
// under load. Dropped lines are counted in the metrics.
type requestLogger struct {
	log              zerolog.Logger
	answered, failed *rate.Limiter
	onDropped        func()
}

func newRequestLogger(log zerolog.Logger, onDropped func()) *requestLogger {
	return &requestLogger{
		log:       log,
		answered:  rate.NewLimiter(answeredLinesPerSecond, answeredLinesPerSecond),
		failed:    rate.NewLimiter(failedLinesPerSecond, failedLinesPerSecond),
		onDropped: onDropped,
	}
}

// newEvent starts a log line about a request. It returns nil, on which all
// zerolog methods are no-ops, if the rate limit is exceeded.
func (l *requestLogger) newEvent(event string, failed bool) *zerolog.Event {
	limiter := l.answered
	if failed {
		limiter = l.failed
	}
	if !limiter.AllowN(time.Now(), 1) {
		l.onDropped()
		return nil
	}
	return l.log.Info().Str("event", event)
}

// maxLoggedBytes limits what a log line has of a client's text, which may be as long as
// the header.
const maxLoggedBytes = 256

func clip(text string) string { return text[:min(len(text), maxLoggedBytes)] }
