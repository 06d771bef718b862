package anvilcommand

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"text/tabwriter"
	"time"

	"anvilbridge/anvilwire"
)

// maxStatusBytes is the maximum size of a status reply; a longer one is cut off.
const maxStatusBytes = 16 << 20

type statusCommand struct {
	Address netip.AddrPort `arg:"" help:"IP:PORT of the node, where callers connect."`
	JSON    bool           `name:"json" help:"Print the JSON reply as it is."`
	Timeout time.Duration  `help:"Time to wait for the reply." default:"2s"`
}

// Run requests the status of a node and prints it.
func (c *statusCommand) Run(out *output) error {
	body, err := c.fetchStatus()
	if err != nil {
		return err
	}
	if c.JSON {
		_, err := fmt.Fprintf(out.stdout, "%s\n", body)
		return err
	}
	status, err := anvilwire.DecodeStatus(body)
	if err != nil {
		return err
	}
	return printStatus(out.stdout, &status)
}

func (c *statusCommand) fetchStatus() ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Address.String()+"/v1/status", nil)
	if err != nil {
		return nil, fmt.Errorf("cannot request the status of %s: %w", c.Address, err)
	}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("cannot request the status of %s: %w", c.Address, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStatusBytes))
	if err != nil {
		return nil, fmt.Errorf("cannot read the status of %s: %w", c.Address, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status request to %s failed: %s: %s", c.Address, response.Status, body)
	}
	return body, nil
}

func printStatus(w io.Writer, s *anvilwire.NodeStatus) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	row := func(format string, values ...any) { _, _ = fmt.Fprintf(table, format+"\n", values...) }
	state := "serving"
	if s.NotReady != "" {
		state = "not ready: " + s.NotReady
	}
	if s.Leaving {
		state = "leaving"
	}
	row("node\t%s", s.Name)
	row("slot\t%s in %s, site %s", s.Slot, s.FailureDomain, s.Site)
	row("state\t%s", state)
	row("revision\t%d", s.Revision)
	row("incarnation\t%d", s.Incarnation)
	row("isolated\t%t", s.Isolated)
	row("queries\t%d of %d", s.QueriesInFlight, s.QueryLimit)
	row("\nFAILURE DOMAIN\tSTATE")
	for _, d := range s.FailureDomains {
		row("%s\t%s", d.Name, d.State)
	}
	row("\nMEMBER\tSLOT\tFAILURE DOMAIN\tSTATUS\tSERVING\tLOAD\tREVISION\tCALLERS\tINCARNATION")
	for _, m := range s.Members {
		row("%s\t%s\t%s\t%s\t%t\t%.2f\t%d\t%s\t%d", m.Name, m.Slot, m.FailureDomain, m.Status, m.Serving, m.Load, m.ConfigRevision, m.CallerAddress, m.Incarnation)
	}
	row("\nLEAF\tFAILURE DOMAIN\tRANK\tSTATE\tBREAKER\tQUEUE\tRUNNING\tLIMIT\tCONNECTIONS")
	for _, l := range s.Leaves {
		row("%s\t%s\t%d\t%s\t%s\t%d\t%d\t%d\t%d", l.Leaf, l.FailureDomain, l.Rank, formatLeafState(l), l.Breaker, l.QueueLength, l.InFlight, l.Limit, l.Connections)
	}
	row("\nTIME\tEVENT\tSUBJECT\tREVISION\tCAUSE")
	for _, e := range s.Events {
		row("%s\t%s\t%s\t%d\t%s", e.Time.Format(time.RFC3339), e.Kind, e.Subject, e.Revision, e.Cause)
		for _, c := range e.Changes {
			row("\t\t%s\t\t%s -> %s", c.Path, c.Old, c.New)
		}
	}
	return table.Flush()
}

func formatLeafState(l anvilwire.LeafStatus) string {
	switch {
	case l.FailureDomainOut:
		return "out"
	case l.Draining:
		return "draining"
	case l.Cold && l.QuietRemaining > 0:
		return "cold, quiet for " + l.QuietRemaining.Round(time.Millisecond).String()
	case l.Cold:
		return "cold"
	default:
		return "warm"
	}
}
