package anvilcommand

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
)

// newLog returns a logger that writes one line of key=value pairs for each event.
func newLog(w io.Writer, level zerolog.Level) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(zerolog.ConsoleWriter{
		Out:        w,
		NoColor:    true,
		TimeFormat: time.RFC3339Nano,
		FormatTimestamp: func(v any) string {
			return fmt.Sprintf("time=%v", v)
		},
		FormatLevel: func(v any) string {
			return fmt.Sprintf("level=%v", v)
		},
		FormatMessage: func(any) string {
			return ""
		},
		PartsOrder: []string{zerolog.TimestampFieldName, zerolog.LevelFieldName},
	}).Level(level).With().Timestamp().Logger()
}
