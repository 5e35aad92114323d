package bench

import (
	"fmt"
	"io"
	"math"
)

// Row holds the metrics of one scenario and policy, one element for each seed.
type Row struct {
	Label   string
	Metrics []Metrics
}

type column struct {
	title    string
	decimals int
	value    func(f Metrics) float64
}

func columns() []column {
	return []column{
		{"attained %", 1, func(f Metrics) float64 { return f.Attainment }},
		{"per accelerator and s", 2, func(f Metrics) float64 { return f.GoodputPerAccelerator }},
		{"worst customer %", 1, func(f Metrics) float64 { return f.WorstAttainment }},
		{"high priority %", 1, func(f Metrics) float64 { return f.HighPriorityAttainment }},
		{"refused inside rate", 0, func(f Metrics) float64 { return float64(f.RefusedWithinRate) }},
		{"wrong or cut", 0, func(f Metrics) float64 { return float64(f.WrongResponses) }},
		{"double runs", 0, func(f Metrics) float64 { return float64(f.DuplicateRuns) }},
		{"tokens over", 0, func(f Metrics) float64 { return f.ExcessTokens }},
		{"tokens uncharged", 0, func(f Metrics) float64 { return float64(f.UnchargedTokens) }},
		{"added p95 ms", 0, func(f Metrics) float64 { return float64(f.AddedLatencyP95) / 1e6 }},
		{"endpoint crashes", 0, func(f Metrics) float64 { return float64(f.EngineCrashes) }},
		{"late p99 ms", 1, func(f Metrics) float64 { return float64(f.SleepLatenessP99) / 1e6 }},
		{"requests", 0, func(f Metrics) float64 { return float64(f.Requests) }},
	}
}

// WriteTable writes a Markdown table with the minimum and maximum of each metric
// over the seeds.
func WriteTable(w io.Writer, title string, rows []Row) {
	fmt.Fprintf(w, "\n%s\n\n| run |", title)
	for _, c := range columns() {
		fmt.Fprintf(w, " %s |", c.title)
	}
	fmt.Fprint(w, "\n|---|")
	for range columns() {
		fmt.Fprint(w, "--:|")
	}
	fmt.Fprintln(w)
	for _, r := range rows {
		fmt.Fprintf(w, "| %s |", r.Label)
		for _, c := range columns() {
			fmt.Fprintf(w, " %s |", formatRange(c, r.Metrics))
		}
		fmt.Fprintln(w)
	}
	for _, r := range rows {
		for i, f := range r.Metrics {
			fmt.Fprintf(w, "<!-- %s, seed %d: worst %s; codes%s; poison%s; unsent %d -->\n", r.Label, i+1, f.WorstCustomer, formatCodes(f.Codes), formatCodes(f.PoisonCodes), f.Unsent)
		}
	}
}

func formatRange(c column, list []Metrics) string {
	least, most := math.Inf(1), math.Inf(-1)
	for _, f := range list {
		least, most = min(least, c.value(f)), max(most, c.value(f))
	}
	if low, high := fmt.Sprintf("%.*f", c.decimals, least), fmt.Sprintf("%.*f", c.decimals, most); low != high {
		return low + " to " + high
	}
	return fmt.Sprintf("%.*f", c.decimals, least)
}
