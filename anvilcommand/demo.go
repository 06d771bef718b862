package anvilcommand

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"anvilbridge/anvildemo"
)

type demoCommand struct {
	Nodes       int           `help:"Number of nodes." default:"4"`
	PhaseLength time.Duration `help:"Length of each phase of the load." default:"4s"`
	Seed        uint64        `help:"Seed of the load and the stand-ins." default:"1"`
	Verbose     bool          `help:"Write the logs of the nodes to standard error."`
}

// Run runs the demo. It returns an error if an invariant was violated.
func (c *demoCommand) Run(out *output) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	log := zerolog.Nop()
	if c.Verbose {
		log = newLogger(out.stderr, zerolog.InfoLevel)
	}
	violations, err := anvildemo.Run(ctx, anvildemo.Config{
		Nodes:       c.Nodes,
		PhaseLength: c.PhaseLength,
		Seed:        c.Seed,
		Output:      out.stdout,
		Log:         log,
	})
	if err != nil {
		return err
	}
	if violations > 0 {
		return fmt.Errorf("%d invariants were violated", violations)
	}
	return nil
}
