package anvilgateway

import (
	"log"
	"strings"

	"github.com/rs/zerolog"
)

// serverLog writes messages of net/http to the structured log.
type serverLog struct {
	log zerolog.Logger
}

func newServerLog(l zerolog.Logger) *log.Logger {
	return log.New(serverLog{log: l}, "", 0)
}

// Write implements io.Writer. Each call is one message.
func (s serverLog) Write(p []byte) (int, error) {
	s.log.Debug().Str("event", "http-server").Str("message", strings.TrimSpace(string(p))).Send()
	return len(p), nil
}
