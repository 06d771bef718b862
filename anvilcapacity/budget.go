package anvilcapacity

// BudgetName names a limit that several figures share.
type BudgetName string

// Budgets.
const (
	// BudgetControlCPU is control work, in cores per node.
	BudgetControlCPU BudgetName = "control CPU"
	// BudgetControlMemory is memory of control work, in bytes per node.
	BudgetControlMemory BudgetName = "control memory"
	// BudgetControlSent and BudgetControlReceived are bytes of control work a
	// second and node, on connections to nodes, platform and leafs.
	BudgetControlSent     BudgetName = "control bytes sent"
	BudgetControlReceived BudgetName = "control bytes received"
	// BudgetDataCPU is the work of the queries, in cores per node.
	BudgetDataCPU BudgetName = "data path CPU"
)

// Budget adds up figures.
type Budget struct {
	Name BudgetName
	Unit string
	// Limit is 0 if there is none.
	Limit float64
	Items []BudgetItem
	Total float64
}

// BudgetItem is one figure of a budget.
type BudgetItem struct {
	// Slope is the name of the slope that the figure comes from.
	Slope  string
	What   string
	Figure float64
}

// Verdict reports whether the total fits; false if there is no limit.
func (b *Budget) Verdict() (Verdict, bool) {
	return judge(b.Total, b.Limit)
}

// budgets adds up the targets of all slopes.
func budgets(slopes []Slope) []Budget {
	all := []Budget{
		{
			Name:  BudgetControlCPU,
			Unit:  "cores",
			Limit: designCPU,
		},
		{
			Name:  BudgetControlMemory,
			Unit:  "bytes",
			Limit: designMemory,
		},
		{
			Name:  BudgetControlSent,
			Unit:  "bytes/s",
			Limit: designBytes,
		},
		{
			Name:  BudgetControlReceived,
			Unit:  "bytes/s",
			Limit: designBytes,
		},
		{
			Name: BudgetDataCPU,
			Unit: "cores",
		},
	}
	for i := range all {
		all[i].collect(slopes)
	}
	return all
}

func (b *Budget) collect(slopes []Slope) {
	for _, s := range slopes {
		for _, t := range s.Targets {
			if t.Budget != b.Name {
				continue
			}
			b.Items = append(b.Items, BudgetItem{
				Slope:  s.Name,
				What:   t.What,
				Figure: t.Figure,
			})
			b.Total += t.Figure
		}
	}
}
