package gateway

import (
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

const (
	// answeredLines is how many requests a second that ended well have a line
	// of their own in the log, troubledLines how many that did not.
	answeredLines = 200
	troubledLines = 500
)

// decisions bounds the lines of single requests under load. What is left out
// is counted in the metrics.
type decisions struct {
	log               zerolog.Logger
	answered, trouble *rate.Limiter
	leftOut           func()
}

func newDecisions(log zerolog.Logger, leftOut func()) *decisions {
	return &decisions{
		log:      log,
		answered: rate.NewLimiter(answeredLines, answeredLines),
		trouble:  rate.NewLimiter(troubledLines, troubledLines),
		leftOut:  leftOut,
	}
}

// line begins a line about a request, or returns nil, which takes fields and
// writes nothing.
func (d *decisions) line(event string, troubled bool) *zerolog.Event {
	limit := d.answered
	if troubled {
		limit = d.trouble
	}
	if !limit.AllowN(time.Now(), 1) {
		d.leftOut()
		return nil
	}
	return d.log.Info().Str("event", event)
}
