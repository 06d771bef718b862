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
	// logBufferLines is the number of log lines that are buffered while the output
	// is slow. Further lines are dropped and counted, so that logging never delays a
	// request.
	logBufferLines = 4096
	// memoryLimitFraction is the fraction of the process memory that is set as the
	// soft memory limit of the Go runtime. Near the limit, garbage is collected more
	// often.
	memoryLimitFraction = 0.6
	// memoryPerRequest is the memory that a request may need: 90 calls with their
	// stacks, buffers and replies. The process memory divided by it is the limit on
	// requests in flight.
	memoryPerRequest = 2 << 20
	// bodyMemoryFraction is the fraction of the process memory for the bodies of
	// requests and replies in flight.
	bodyMemoryFraction = 0.25
	// memoryPerConnection is the memory that a caller's connection may need while a
	// request is read.
	memoryPerConnection = 64 << 10
	// connectionMemoryFraction is the fraction of the process memory for all
	// connections from callers.
	connectionMemoryFraction = 0.25
)

// gatewayCommand runs a gateway on the users' platform.
type gatewayCommand struct {
	Settings    string `help:"Path of the platform's settings file; by default the one that the platform names." type:"path"`
	MetricsPort uint16 `help:"Port on which metrics are served; 0 serves none."`
	LogLevel    string `help:"Lowest level that is logged: debug, info, warn or error." default:"info"`
}

// Run starts the gateway and serves until a signal stops it.
func (c *gatewayCommand) Run(out *output) error {
	path := c.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	if path == "" {
		return errors.New("no settings file: --settings is not set, and the platform does not name one")
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
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryBytes)))
	}
	config := settings.Gateway
	config.MaxRequests = int(settings.MemoryBytes / memoryPerRequest)
	config.MaxBodyMemory = int64(bodyMemoryFraction * float64(settings.MemoryBytes))
	config.MaxConnections = int(connectionMemoryFraction * float64(settings.MemoryBytes) / memoryPerConnection)
	logWriter := newNonBlockingWriter(out.stdout)
	defer func() { _ = logWriter.Close() }()
	config.Log = newLogger(logWriter, level).With().Str("vm", config.Name).Logger()
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
	go handleSignals(ctx, gateway, signals, path, config.Log)
	return gateway.Run(ctx)
}

// handleSignals reloads the settings on SIGHUP and shuts the gateway down on any
// other signal.
func handleSignals(ctx context.Context, gateway *anvilgateway.Gateway, signals <-chan os.Signal, settingsPath string, log zerolog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case received := <-signals:
			if received != syscall.SIGHUP {
				go gateway.Shutdown(ctx, "signal "+received.String())
				continue
			}
			settings, err := platform.LoadSettings(settingsPath)
			if err != nil {
				log.Error().Str("event", "settings-refused").Err(err).Send()
				continue
			}
			gateway.Reload(settings.Gateway.Seeds)
		}
	}
}

// newNonBlockingWriter returns a log writer that never blocks. If its buffer is
// full, it drops lines and logs how many.
func newNonBlockingWriter(w io.Writer) io.WriteCloser {
	var totalDropped atomic.Int64
	return diode.NewWriter(w, logBufferLines, 0, func(dropped int) {
		_, _ = fmt.Fprintf(w, "level=warn event=log-lines-dropped count=%d total=%d\n", dropped, totalDropped.Add(int64(dropped)))
	})
}
