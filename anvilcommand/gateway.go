package anvilcommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"anvilbridge/anvilgateway"
	"anvilbridge/anvilmetric"
	"anvilbridge/platform"
)

const (
	// logLines is the number of log lines that wait for the output; more are
	// dropped and counted, so that logging never holds a request up.
	logLines = 4096
	// memoryShare is the part of the process's memory that the heap may take before
	// it is collected more eagerly.
	memoryShare = 0.6
	// requestBytes is what a request may take: 90 calls with their stacks, buffers
	// and replies. The memory of the process divided by it bounds the requests that
	// are worked on at a time.
	requestBytes = 2 << 20
	// bodyShare is the part of the memory that the bodies of requests and replies in
	// flight may hold.
	bodyShare = 0.25
	// connectionBytes is what a caller's connection may hold while its request is
	// read, connectionShare the part of the memory for all of them.
	connectionBytes = 64 << 10
	connectionShare = 0.25
)

// gatewayCommand runs a gateway on the users' platform.
type gatewayCommand struct {
	Settings    string `help:"Path of the platform's settings file; by default the one that the platform names." type:"path"`
	MetricsPort uint16 `help:"Port on which metrics are served; 0 serves none."`
	LogLevel    string `help:"Lowest level that is logged: debug, info, warn or error." default:"info"`
}

// Run starts the gateway and serves until it is told to stop.
func (c *gatewayCommand) Run(out *output) error {
	path := c.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	if path == "" {
		return errors.New("no settings file is named")
	}
	level, err := zerolog.ParseLevel(c.LogLevel)
	if err != nil {
		return fmt.Errorf("--log-level: %w", err)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	}
	config := settings.Gateway
	config.MaxRequests = int(settings.MemoryBytes / requestBytes)
	config.MaxBodyMemory = int64(bodyShare * float64(settings.MemoryBytes))
	config.MaxConnections = int(connectionShare * float64(settings.MemoryBytes) / connectionBytes)
	writer := newLogWriter(out.stdout)
	defer func() { _ = writer.Close() }()
	config.Log = newLog(writer, level).With().Str("vm", config.Name).Logger()
	config.Seed = rand.Uint64()
	config.Metrics = anvilmetric.New(anvilmetric.Config{
		OnError: func(err error) {
			config.Log.Warn().Str("event", "metric-refused").Err(err).Send()
		},
	})
	defer func() { _ = config.Metrics.Close() }()
	if c.MetricsPort > 0 {
		config.Addresses.Metrics = netip.AddrPortFrom(config.Addresses.Caller.Addr(), c.MetricsPort)
		config.Addresses.MetricsPath = "/metrics"
	}
	gateway := anvilgateway.New(config)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	go followSignals(ctx, gateway, signals, path, config.Log)
	return gateway.Run(ctx)
}

// followSignals reloads the settings on SIGHUP and shuts the gateway down on the
// other signals.
func followSignals(ctx context.Context, g *anvilgateway.Gateway, signals <-chan os.Signal, path string, log zerolog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			if s != syscall.SIGHUP {
				go g.Shutdown(ctx, "signal "+s.String())
				continue
			}
			settings, err := platform.LoadSettings(path)
			if err != nil {
				log.Error().Str("event", "settings-refused").Err(err).Send()
				continue
			}
			g.Reload(settings.Gateway.Seeds)
		}
	}
}

// newLogWriter returns a writer that never blocks. Lines that do not fit are
// dropped; their number is written instead.
func newLogWriter(w io.Writer) io.WriteCloser {
	var dropped atomic.Int64
	return diode.NewWriter(w, logLines, 0, func(missed int) {
		_, _ = fmt.Fprintf(w, "level=warn event=log-lines-dropped count=%d total=%d\n", missed, dropped.Add(int64(missed)))
	})
}
