package anvilbench

import (
	"fmt"
	"io"
	"strings"

	"anvilbridge/anvilmodel"
)

// minAnswersForP999 is the number of answers below which the 99.9th percentile is
// the maximum, and is marked as such.
const minAnswersForP999 = 1000

// WriteStreams writes a Markdown table with one row for each stream of each run.
func WriteStreams(w io.Writer, results []*Result) {
	writeRow(w, "scenario", "variant", "class", "queries", "p50 ms", "p99 ms", "p99.9 ms", "in time",
		"full in time", "coverage", "full answers", "refused not-run / run / unknown", "late")
	writeSeparator(w, 13)
	for _, r := range results {
		for _, s := range r.Streams {
			writeStream(w, r, s)
		}
	}
}

func writeStream(w io.Writer, r *Result, s *StreamResult) {
	suffix := ""
	if s.Answered < minAnswersForP999 {
		suffix = " (max)"
	}
	writeRow(w, r.Scenario, r.Variant, s.Label, fmt.Sprint(s.Offered),
		formatLatency(s, 50), formatLatency(s, 99), formatLatency(s, 99.9)+suffix,
		formatShare(s.InTimeShare()), formatShare(s.FullInTimeShare()),
		formatShare(s.Coverage()), formatShare(s.FullCoverageShare()),
		fmt.Sprintf("%d / %d / %d", s.Refused[anvilmodel.RunStateNotRun], s.Refused[anvilmodel.RunStateRun], s.Refused[anvilmodel.RunStateUnknown]),
		fmt.Sprint(s.LateAtCaller))
}

// WriteRuns writes a Markdown table with one row for each run, which sums up its
// classes.
func WriteRuns(w io.Writer, results []*Result) {
	writeRow(w, "scenario", "variant", "broad p99 ms", "broad full in time", "broad coverage",
		"urgent p99 ms", "urgent in time", "urgent at floor", "urgent coverage",
		"patient p99 ms", "patient full in time", "extra load", "hedges", "retries", "moves / restarts",
		"cold violations", "leaf sheds", "wrong parts / late")
	writeSeparator(w, 18)
	for _, r := range results {
		writeRun(w, r)
	}
}

func writeRun(w io.Writer, r *Result) {
	broad, urgent, patient := r.Stream("broad"), r.Stream("urgent"), r.Stream("patient")
	late := 0
	for _, s := range r.Streams {
		late += s.LateAtCaller
	}
	writeRow(w, r.Scenario, r.Variant,
		formatLatency(&broad, 99), formatShare(broad.FullInTimeShare()), formatShare(broad.Coverage()),
		formatLatency(&urgent, 99), formatShare(urgent.InTimeShare()), formatShare(urgent.FloorMetShare()), formatShare(urgent.Coverage()),
		formatLatency(&patient, 99), formatShare(patient.FullInTimeShare()),
		formatShare(r.ExtraLoad()), formatShare(ratio(float64(r.Hedges), r.Primaries)), formatShare(ratio(float64(r.Retries), r.Primaries)),
		fmt.Sprintf("%d / %d", r.Counters.Reroutes, r.Counters.Restarts),
		fmt.Sprint(r.ColdViolations), fmt.Sprint(r.LeafSheds), fmt.Sprintf("%d / %d", r.WrongParts, late))
}

func writeRow(w io.Writer, cells ...string) {
	// The error is ignored: a failed write is evident from the missing output.
	_, _ = fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | "))
}

func writeSeparator(w io.Writer, columns int) {
	writeRow(w, strings.Split(strings.Repeat("---,", columns-1)+"---", ",")...)
}

func formatLatency(s *StreamResult, percent float64) string {
	return fmt.Sprintf("%.1f", milliseconds(s.Latency(percent)))
}

func formatShare(share float64) string {
	return fmt.Sprintf("%.1f%%", 100*share)
}
