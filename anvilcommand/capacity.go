package anvilcommand

import (
	"context"
	"encoding/json"
	"os/signal"
	"syscall"

	"anvilbridge/anvilcapacity"
)

type capacityCommand struct {
	JSON bool   `name:"json" help:"Print JSON."`
	Only string `help:"Run one measurement only." placeholder:"NAME"`
	Seed uint64 `help:"Seed of the random choices." default:"1"`
}

// Run measures and prints the slopes and what follows from them for the design
// size. A figure that does not fit is no error of the command.
func (c *capacityCommand) Run(out *output) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	report, err := anvilcapacity.Run(ctx, anvilcapacity.Config{
		Only: c.Only,
		Seed: c.Seed,
	})
	if err != nil {
		return err
	}
	if !c.JSON {
		return report.Write(out.stdout)
	}
	encoder := json.NewEncoder(out.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(newCapacityBody(report))
}

type capacityBody struct {
	Commit     string       `json:"commit"`
	GoVersion  string       `json:"go-version"`
	Processors int          `json:"processors"`
	Took       string       `json:"took"`
	Slopes     []slopeBody  `json:"slopes"`
	Budgets    []budgetBody `json:"budgets,omitempty"`
}

type slopeBody struct {
	Name      string       `json:"name"`
	What      string       `json:"what"`
	Kind      string       `json:"kind"`
	Unit      string       `json:"unit"`
	SizeName  string       `json:"size-name"`
	Sizes     []float64    `json:"sizes"`
	Values    []float64    `json:"values"`
	Slope     float64      `json:"slope"`
	Intercept float64      `json:"intercept"`
	RSquared  float64      `json:"r-squared"`
	Deviation float64      `json:"largest-deviation"`
	Design    []targetBody `json:"design"`
}

type targetBody struct {
	What     string       `json:"what"`
	Size     float64      `json:"size"`
	Factor   float64      `json:"factor"`
	Measured bool         `json:"measured"`
	Rate     bool         `json:"rate"`
	Figure   float64      `json:"figure"`
	Unit     string       `json:"unit"`
	Budget   string       `json:"budget,omitempty"`
	Verdict  *verdictBody `json:"verdict,omitempty"`
}

type verdictBody struct {
	Limit  float64 `json:"limit"`
	Fits   bool    `json:"fits"`
	Factor float64 `json:"factor"`
}

type budgetBody struct {
	Name    string           `json:"name"`
	Unit    string           `json:"unit"`
	Items   []budgetItemBody `json:"items"`
	Total   float64          `json:"total"`
	Verdict *verdictBody     `json:"verdict,omitempty"`
}

type budgetItemBody struct {
	Slope  string  `json:"slope"`
	What   string  `json:"what"`
	Figure float64 `json:"figure"`
}

func newCapacityBody(r *anvilcapacity.Report) capacityBody {
	body := capacityBody{
		Commit:     r.Commit,
		GoVersion:  r.GoVersion,
		Processors: r.Processors,
		Took:       r.Took.String(),
		Slopes:     []slopeBody{},
	}
	for i := range r.Slopes {
		body.Slopes = append(body.Slopes, newSlopeBody(&r.Slopes[i]))
	}
	for i := range r.Budgets {
		body.Budgets = append(body.Budgets, newBudgetBody(&r.Budgets[i]))
	}
	return body
}

func newSlopeBody(s *anvilcapacity.Slope) slopeBody {
	body := slopeBody{
		Name:      s.Name,
		What:      s.What,
		Kind:      string(s.Kind),
		Unit:      s.Unit,
		SizeName:  s.SizeName,
		Sizes:     s.Sizes,
		Values:    s.Values,
		Slope:     s.Fit.Slope,
		Intercept: s.Fit.Intercept,
		RSquared:  s.Fit.RSquared,
		Deviation: s.Fit.Deviation,
		Design:    []targetBody{},
	}
	for i := range s.Targets {
		t := &s.Targets[i]
		body.Design = append(body.Design, targetBody{
			What:     t.What,
			Size:     t.Size,
			Factor:   t.Factor,
			Measured: t.Measured,
			Rate:     t.Rate,
			Figure:   t.Figure,
			Unit:     t.Unit,
			Budget:   string(t.Budget),
			Verdict:  newVerdictBody(t.Limit, t.Verdict),
		})
	}
	return body
}

func newBudgetBody(b *anvilcapacity.Budget) budgetBody {
	body := budgetBody{
		Name:    string(b.Name),
		Unit:    b.Unit,
		Items:   []budgetItemBody{},
		Total:   b.Total,
		Verdict: newVerdictBody(b.Limit, b.Verdict),
	}
	for _, i := range b.Items {
		body.Items = append(body.Items, budgetItemBody{
			Slope:  i.Slope,
			What:   i.What,
			Figure: i.Figure,
		})
	}
	return body
}

func newVerdictBody(limit float64, verdict func() (anvilcapacity.Verdict, bool)) *verdictBody {
	v, limited := verdict()
	if !limited {
		return nil
	}
	return &verdictBody{
		Limit:  limit,
		Fits:   v.Fits,
		Factor: v.Factor,
	}
}
