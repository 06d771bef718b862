package anvilcommand

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilnode"
)

// nodeCommand runs a node. Its flags are strings, so that all invalid values can
// be reported at once.
type nodeCommand struct {
	Name          string `help:"Name of this VM in the published list."`
	Site          string `help:"Site whose overlay applies to this node."`
	Slot          string `help:"Entry slot of the configuration that this node occupies."`
	FailureDomain string `help:"Failure domain of this VM."`
	CallerAddress string `help:"IP:PORT on which callers and operators connect." placeholder:"IP:PORT"`
	PeerAddress   string `help:"IP:PORT on which other nodes connect." placeholder:"IP:PORT"`
	ConfigService string `help:"IP:PORT of the configuration service." placeholder:"IP:PORT"`
	VMList        string `name:"vm-list" help:"IP:PORT of the published list of VMs." placeholder:"IP:PORT"`
	MaxQueries    string `help:"Queries that the node works on at a time." default:"2000"`
	ShutdownLimit string `help:"Time after which a graceful shutdown cuts off what still runs." default:"30s"`
	PollInterval  string `help:"Time between two reads of a leaf's state." default:"500ms"`
	ServeAlone    bool   `help:"Serve what the configuration service gives, although no other node was heard."`
	LogLevel      string `help:"Lowest level that is logged: debug, info, warn or error." default:"info"`
}

// Run starts the node and serves until a signal stops it.
func (c *nodeCommand) Run(out *output) error {
	config, findings := c.parseSettings(out)
	if len(findings) > 0 {
		for _, f := range findings {
			_, _ = fmt.Fprintf(out.stderr, "--%s %s (accepted: %s)\n", f.Setting, f.Message, f.Accepted)
		}
		return errAlreadyReported
	}
	node, err := anvilnode.New(config)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	go shutDownOnSignal(ctx, cancel, node, signals)
	return node.Run(ctx)
}

// shutDownOnSignal shuts the node down gracefully on the first signal. The second
// signal cancels the context, which ends the process.
func shutDownOnSignal(ctx context.Context, cancel context.CancelFunc, node *anvilnode.Node, signals <-chan os.Signal) {
	var first os.Signal
	select {
	case first = <-signals:
	case <-ctx.Done():
		return
	}
	go func() {
		<-signals
		cancel()
	}()
	node.Shutdown(ctx, "signal "+first.String())
}

// parseSettings parses the flags and returns all findings.
func (c *nodeCommand) parseSettings(out *output) (anvilnode.Config, []anvilnode.Finding) {
	p := &settingsParser{}
	config := anvilnode.Config{
		Name:                 anvilmodel.VMName(c.Name),
		Site:                 anvilconfig.SiteName(c.Site),
		Slot:                 anvilmodel.SlotName(c.Slot),
		FailureDomain:        anvilmodel.FailureDomain(c.FailureDomain),
		CallerAddress:        p.parseAddress("caller-address", c.CallerAddress),
		PeerAddress:          p.parseAddress("peer-address", c.PeerAddress),
		ConfigServiceAddress: p.parseAddress("config-service", c.ConfigService),
		VMListAddress:        p.parseAddress("vm-list", c.VMList),
		MaxQueries:           p.parseCount("max-queries", c.MaxQueries),
		ShutdownLimit:        p.parseDuration("shutdown-limit", c.ShutdownLimit),
		LeafPollInterval:     p.parseDuration("poll-interval", c.PollInterval),
		ServeAlone:           c.ServeAlone,
		Log:                  newLogger(out.stderr, p.parseLevel("log-level", c.LogLevel)),
	}
	for _, f := range config.Validate() {
		if !p.hasFinding(f.Setting) {
			p.findings = append(p.findings, f)
		}
	}
	return config, p.findings
}

// settingsParser parses settings and collects the findings.
type settingsParser struct {
	findings []anvilnode.Finding
}

func (p *settingsParser) addFinding(setting, message, accepted string) {
	p.findings = append(p.findings, anvilnode.Finding{
		Setting:  setting,
		Message:  message,
		Accepted: accepted,
	})
}

func (p *settingsParser) hasFinding(setting string) bool {
	for _, f := range p.findings {
		if f.Setting == setting {
			return true
		}
	}
	return false
}

func (p *settingsParser) parseAddress(setting, text string) netip.AddrPort {
	if text == "" {
		p.addFinding(setting, "is not set", "IP:PORT, such as 10.0.0.1:7000")
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		p.addFinding(setting, fmt.Sprintf("cannot be parsed: %q", text), "IP:PORT, such as 10.0.0.1:7000")
	}
	return address
}

func (p *settingsParser) parseDuration(setting, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		p.addFinding(setting, fmt.Sprintf("cannot be parsed: %q", text), "a duration above 0, such as 30s")
		return 0
	}
	return d
}

func (p *settingsParser) parseCount(setting, text string) int {
	var count int
	if _, err := fmt.Sscanf(text, "%d", &count); err != nil || count < 1 || fmt.Sprint(count) != text {
		p.addFinding(setting, fmt.Sprintf("cannot be parsed: %q", text), "a whole number, 1 or more")
		return 0
	}
	return count
}

func (p *settingsParser) parseLevel(setting, text string) zerolog.Level {
	level, err := zerolog.ParseLevel(text)
	if err != nil || text == "" {
		p.addFinding(setting, fmt.Sprintf("cannot be parsed: %q", text), "debug, info, warn or error")
		return zerolog.InfoLevel
	}
	return level
}
