package daemon

import (
	"io"

	"github.com/rs/zerolog"
)

// timeFormat is the form of a log line's time.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// sourceField is the name zerolog gives the line of code that logs. Its
// default name is needed for the system's callers.
const sourceField = "source"

// NewLogger returns a logger of the events of at least the given level. It
// gives each event to w as one JSON object in one call; a logline.Writer
// makes a line of key=value pairs of it.
func NewLogger(w io.Writer, level string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Logger{}, settingError("log-level", level, "debug, info, warn or error", err)
	}
	zerolog.CallerFieldName = sourceField
	zerolog.TimeFieldFormat = timeFormat
	return zerolog.New(w).Level(parsed).With().Timestamp().Logger(), nil
}
