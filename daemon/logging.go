package daemon

import (
	"io"

	"github.com/rs/zerolog"
)

// logTimeFormat is the form of a log line's time.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// sourceFieldName is the name zerolog gives the line of code that logs. Its
// default name is needed for the system's callers.
const sourceFieldName = "source"

// NewLogger returns a logger of the events of at least the given level. It
// gives each event to w as one JSON object in one call; a logline.Writer
// makes a line of key=value pairs of it.
func NewLogger(w io.Writer, level string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Logger{}, newSettingError("log-level", level, "debug, info, warn or error", err)
	}
	zerolog.CallerFieldName = sourceFieldName
	zerolog.TimeFieldFormat = logTimeFormat
	return zerolog.New(w).Level(parsed).With().Timestamp().Logger(), nil
}
