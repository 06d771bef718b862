package anvilcommand

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
)

// newLogger returns a logger that writes each event as a line of key=value pairs.
func newLogger(w io.Writer, level zerolog.Level) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(zerolog.ConsoleWriter{
		Out:        w,
		NoColor:    true,
		TimeFormat: time.RFC3339Nano,
		FormatTimestamp: func(value any) string {
			return fmt.Sprintf("time=%v", value)
		},
		FormatLevel: func(value any) string {
			return fmt.Sprintf("level=%v", value)
		},
		FormatMessage: func(any) string {
			return ""
		},
		PartsOrder: []string{zerolog.TimestampFieldName, zerolog.LevelFieldName},
	}).Level(level).With().Timestamp().Logger()
}
