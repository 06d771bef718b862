package anvilcommand

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"anvilbridge/anvilcaller"
	"anvilbridge/anvilmodel"
)

type queryCommand struct {
	Address       []netip.AddrPort `help:"IP:PORT of a node to ask for addresses; may be repeated." required:""`
	FailureDomain string           `help:"Failure domain of the caller."`
	Service       string           `help:"Service to query." required:""`
	Class         string           `help:"Request class." required:""`
	Timeout       time.Duration    `help:"Time within which the answer is needed." default:"100ms"`
	Key           string           `help:"Key that selects one shard; all shards without it."`
	NonIdempotent bool             `help:"The request may run at most once; a ticket is used."`
	Body          string           `help:"Body of the request; '-' reads standard input."`
	Repeat        int              `help:"Number of times to send it, one after the other." default:"1"`
}

// Run sends queries and prints the answers.
func (c *queryCommand) Run(out *output) error {
	body, err := c.readBody()
	if err != nil {
		return err
	}
	client := anvilcaller.New(anvilcaller.Config{
		Seeds:         c.Address,
		FailureDomain: anvilmodel.FailureDomain(c.FailureDomain),
	})
	defer client.Shutdown()
	var lastErr error
	for range c.Repeat {
		if err := c.send(out, client, body); err != nil {
			lastErr = err
		}
	}
	return lastErr
}

func (c *queryCommand) readBody() ([]byte, error) {
	if c.Body != "-" {
		return []byte(c.Body), nil
	}
	body, err := io.ReadAll(os.Stdin)
	if err != nil {
		return nil, fmt.Errorf("cannot read the body from standard input: %w", err)
	}
	return body, nil
}

func (c *queryCommand) send(out *output, client *anvilcaller.Client, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	startedAt := time.Now()
	answer, err := client.Query(ctx, anvilcaller.Request{
		ID:            newRequestID(),
		Service:       anvilmodel.ServiceName(c.Service),
		Class:         anvilmodel.ClassName(c.Class),
		Timeout:       c.Timeout,
		Key:           c.Key,
		NonIdempotent: c.NonIdempotent,
		Body:          body,
	})
	elapsed := time.Since(startedAt).Round(time.Microsecond)
	if err != nil {
		printRefusal(out.stdout, err, elapsed)
		return errAlreadyReported
	}
	_, _ = fmt.Fprintf(out.stdout, "snapshot=%d coverage=%d/%d missing=%v took=%s node-took=%s\n",
		answer.Snapshot, answer.Coverage.Covered, answer.Coverage.Total, answer.Coverage.Missing, elapsed, answer.Elapsed)
	for _, part := range answer.Parts {
		_, _ = fmt.Fprintf(out.stdout, "shard=%d body=%q\n", part.Shard, part.Body)
	}
	return nil
}

// printRefusal prints the refusal of a query, or any other error.
func printRefusal(w io.Writer, err error, elapsed time.Duration) {
	var refusal *anvilmodel.Refusal
	if !errors.As(err, &refusal) {
		_, _ = fmt.Fprintf(w, "error=%q took=%s\n", err, elapsed)
		return
	}
	_, _ = fmt.Fprintf(w, "refused=%s ran=%s retry-after=%s took=%s detail=%q accepted=%q\n",
		refusal.Reason, refusal.RunState, refusal.RetryAfter, elapsed, refusal.Detail, refusal.Accepted)
}

func newRequestID() anvilmodel.RequestID {
	var id [16]byte
	// crypto/rand.Read does not fail on the platforms that Go supports.
	_, _ = rand.Read(id[:])
	return anvilmodel.RequestID(hex.EncodeToString(id[:]))
}
