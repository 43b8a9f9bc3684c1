package daemon

import (
	"io"

	"github.com/rs/zerolog"
)

// logTimeFormat is the format of the time in a log line.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// sourceFieldName is the log field for the source line that logged an event.
// It replaces zerolog's default name, "caller", which is used for callers of
// the system.
const sourceFieldName = "source"

// NewLogger returns a logger for events of at least the given level. Each
// event is written to w in one call, as a JSON object; a logline.Writer turns
// it into a line of key=value pairs.
func NewLogger(w io.Writer, level string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Logger{}, newSettingError("log-level", level, "debug, info, warn or error", err)
	}
	zerolog.CallerFieldName = sourceFieldName
	zerolog.TimeFieldFormat = logTimeFormat
	return zerolog.New(w).Level(parsed).With().Timestamp().Logger(), nil
}
