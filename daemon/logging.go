package daemon

import (
	"fmt"
	"io"

	"github.com/rs/zerolog"
)

// timeFormat is the form of a log line's time.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// sourceField is the name zerolog gives the line of code that logs. Its
// default name is needed for the system's callers.
const sourceField = "source"

// NewLogger returns a logger that writes one line of key=value pairs for
// each event of at least the given level: time, level and event first, then
// the other pairs by name.
func NewLogger(w io.Writer, level string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Logger{}, settingError("log-level", level, "debug, info, warn or error", err)
	}
	zerolog.CallerFieldName = sourceField
	zerolog.TimeFieldFormat = timeFormat
	out := zerolog.ConsoleWriter{
		Out:                   w,
		NoColor:               true,
		PartsOrder:            []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, "event"},
		FormatTimestamp:       func(v any) string { return pair(zerolog.TimestampFieldName, v) },
		FormatLevel:           func(v any) string { return pair(zerolog.LevelFieldName, v) },
		FormatPartValueByName: func(v any, name string) string { return pair(name, v) },
		FieldsExclude:         []string{"event"},
	}
	return zerolog.New(zerolog.SyncWriter(out)).Level(parsed).With().Timestamp().Logger(), nil
}

func pair(name string, v any) string { return fmt.Sprintf("%s=%v", name, v) }
