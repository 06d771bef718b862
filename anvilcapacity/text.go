package anvilcapacity

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// Write prints the report as text.
func (r *Report) Write(w io.Writer) error {
	b := &bytes.Buffer{}
	printf := func(format string, values ...any) { _, _ = fmt.Fprintf(b, format, values...) }
	printf("commit %s, %s, %d processors, took %s\n", cmp.Or(r.Commit, "unknown"), r.GoVersion, r.Processors, r.Took.Round(100*time.Millisecond))
	for i := range r.Slopes {
		r.Slopes[i].write(b)
	}
	for i := range r.Budgets {
		r.Budgets[i].write(b)
	}
	_, err := b.WriteTo(w)
	return err
}

func (s *Slope) write(b *bytes.Buffer) {
	printf := func(format string, values ...any) { _, _ = fmt.Fprintf(b, format, values...) }
	printf("\n%s (%s): %s\n", s.Name, s.Kind, s.What)
	table := tabwriter.NewWriter(b, 0, 0, 2, ' ', tabwriter.AlignRight)
	row(table, s.SizeName, s.Sizes)
	row(table, s.Unit, s.Values)
	// Writing to a buffer does not fail.
	_ = table.Flush()
	printf("  line: %s %+.4g for each of %s; R^2 %.4f, largest deviation %.1f%%\n",
		Figure(s.Fit.Intercept), s.Fit.Slope, s.SizeName, s.Fit.RSquared, 100*s.Fit.Deviation)
	for _, t := range s.Targets {
		printf("  %s\n", t)
	}
}

func row(w io.Writer, name string, values []float64) {
	cells := make([]string, 0, len(values))
	for _, v := range values {
		cells = append(cells, Figure(v))
	}
	_, _ = fmt.Fprintf(w, "  %s\t%s\t\n", name, strings.Join(cells, "\t"))
}

// String returns the figure, how it was found, its limit and the verdict.
func (t Target) String() string {
	how := "from the line at"
	switch {
	case t.Rate:
		how = "slope times"
	case t.Measured:
		how = "measured at"
	}
	text := fmt.Sprintf("design: %s: %s %s (%s %s", t.What, Figure(t.Figure), t.Unit, how, Figure(t.Size))
	if t.Factor != 1 {
		text += ", times " + Figure(t.Factor)
	}
	text += ")"
	if v, limited := t.Verdict(); limited {
		text += fmt.Sprintf("; limit %s: %s", Figure(t.Limit), v)
	}
	return text
}

// String says whether the figure fits, and by what factor.
func (v Verdict) String() string {
	if v.Fits {
		return fmt.Sprintf("fits, %.3g of the limit", v.Factor)
	}
	return fmt.Sprintf("does not fit, %.3g times the limit", v.Factor)
}

func (b *Budget) write(to *bytes.Buffer) {
	_, _ = fmt.Fprintf(to, "\ntotal %s, %s per node at the design size\n", b.Name, b.Unit)
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	for _, i := range b.Items {
		_, _ = fmt.Fprintf(table, "  %s\t%s\t%s\n", Figure(i.Figure), i.Slope, i.What)
	}
	_, _ = fmt.Fprintf(table, "  %s\ttotal\t", Figure(b.Total))
	if v, limited := b.Verdict(); limited {
		_, _ = fmt.Fprintf(table, "limit %s: %s", Figure(b.Limit), v)
	}
	_, _ = fmt.Fprintln(table)
	_ = table.Flush()
}

// Figure prints a number with four significant digits and without an exponent
// where it is readable.
func Figure(v float64) string {
	size := math.Abs(v)
	switch {
	case v == math.Trunc(v) && size < 1e15:
		return strconv.FormatFloat(v, 'f', -1, 64)
	case size >= 1000:
		return strconv.FormatFloat(v, 'f', 0, 64)
	case size >= 1e-4:
		return strconv.FormatFloat(v, 'f', max(0, 3-int(math.Floor(math.Log10(size)))), 64)
	default:
		return strconv.FormatFloat(v, 'g', 4, 64)
	}
}
