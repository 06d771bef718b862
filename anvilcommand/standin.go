package anvilcommand

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"anvilbridge/anvildemo"
)

type standInCommand struct {
	Nodes int    `help:"Number of entry VMs in the published list." default:"4"`
	Port  uint16 `help:"First loopback port of the entry VMs: callers on even offsets, peers on odd ones." default:"7100"`
	Seed  uint64 `help:"Seed of the service times." default:"1"`
}

// Run starts the fakes, prints commands that start nodes against them, and waits
// for a signal.
func (c *standInCommand) Run(out *output) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	standIns, err := anvildemo.StartStandIns(anvildemo.StandInConfig{
		Nodes:     c.Nodes,
		FirstPort: c.Port,
		Seed:      c.Seed,
	})
	if err != nil {
		return err
	}
	defer standIns.Shutdown()
	_, _ = fmt.Fprintf(out.stdout, "config-service=%s\nvm-list=%s\ncontrol=http://%s/standin/v1/\n",
		standIns.ConfigService, standIns.VMList, standIns.Control)
	for _, line := range standIns.NodeCommands() {
		_, _ = fmt.Fprintln(out.stdout, line)
	}
	<-ctx.Done()
	return nil
}
