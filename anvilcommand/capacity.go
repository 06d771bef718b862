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

// Run measures how costs grow and prints the slopes and their extrapolation to the
// design size. A value above its limit is reported but does not make the command
// fail.
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
	return encoder.Encode(newCapacityJSON(report))
}

type capacityJSON struct {
	Commit     string       `json:"commit"`
	GoVersion  string       `json:"go-version"`
	Processors int          `json:"processors"`
	Took       string       `json:"took"`
	Slopes     []slopeJSON  `json:"slopes"`
	Budgets    []budgetJSON `json:"budgets,omitempty"`
}

type slopeJSON struct {
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
	Design    []targetJSON `json:"design"`
}

type targetJSON struct {
	What     string       `json:"what"`
	Size     float64      `json:"size"`
	Factor   float64      `json:"factor"`
	Measured bool         `json:"measured"`
	Rate     bool         `json:"rate"`
	Figure   float64      `json:"figure"`
	Unit     string       `json:"unit"`
	Budget   string       `json:"budget,omitempty"`
	Verdict  *verdictJSON `json:"verdict,omitempty"`
}

type verdictJSON struct {
	Limit  float64 `json:"limit"`
	Fits   bool    `json:"fits"`
	Factor float64 `json:"factor"`
}

type budgetJSON struct {
	Name    string           `json:"name"`
	Unit    string           `json:"unit"`
	Items   []budgetItemJSON `json:"items"`
	Total   float64          `json:"total"`
	Verdict *verdictJSON     `json:"verdict,omitempty"`
}

type budgetItemJSON struct {
	Slope  string  `json:"slope"`
	What   string  `json:"what"`
	Figure float64 `json:"figure"`
}

func newCapacityJSON(report *anvilcapacity.Report) capacityJSON {
	result := capacityJSON{
		Commit:     report.Commit,
		GoVersion:  report.GoVersion,
		Processors: report.Processors,
		Took:       report.Took.String(),
		Slopes:     []slopeJSON{},
	}
	for i := range report.Slopes {
		result.Slopes = append(result.Slopes, newSlopeJSON(&report.Slopes[i]))
	}
	for i := range report.Budgets {
		result.Budgets = append(result.Budgets, newBudgetJSON(&report.Budgets[i]))
	}
	return result
}

func newSlopeJSON(slope *anvilcapacity.Slope) slopeJSON {
	result := slopeJSON{
		Name:      slope.Name,
		What:      slope.What,
		Kind:      string(slope.Kind),
		Unit:      slope.Unit,
		SizeName:  slope.SizeName,
		Sizes:     slope.Sizes,
		Values:    slope.Values,
		Slope:     slope.Fit.Slope,
		Intercept: slope.Fit.Intercept,
		RSquared:  slope.Fit.RSquared,
		Deviation: slope.Fit.Deviation,
		Design:    []targetJSON{},
	}
	for i := range slope.Targets {
		target := &slope.Targets[i]
		result.Design = append(result.Design, targetJSON{
			What:     target.What,
			Size:     target.Size,
			Factor:   target.Factor,
			Measured: target.Measured,
			Rate:     target.Rate,
			Figure:   target.Figure,
			Unit:     target.Unit,
			Budget:   string(target.Budget),
			Verdict:  newVerdictJSON(target.Limit, target.Verdict),
		})
	}
	return result
}

func newBudgetJSON(budget *anvilcapacity.Budget) budgetJSON {
	result := budgetJSON{
		Name:    string(budget.Name),
		Unit:    budget.Unit,
		Items:   []budgetItemJSON{},
		Total:   budget.Total,
		Verdict: newVerdictJSON(budget.Limit, budget.Verdict),
	}
	for _, item := range budget.Items {
		result.Items = append(result.Items, budgetItemJSON{
			Slope:  item.Slope,
			What:   item.What,
			Figure: item.Figure,
		})
	}
	return result
}

// newVerdictJSON returns nil if the value has no limit.
func newVerdictJSON(limit float64, verdictOf func() (anvilcapacity.Verdict, bool)) *verdictJSON {
	verdict, hasLimit := verdictOf()
	if !hasLimit {
		return nil
	}
	return &verdictJSON{
		Limit:  limit,
		Fits:   verdict.Fits,
		Factor: verdict.Factor,
	}
}
