package bench

import (
	"fmt"
	"io"
	"math"
)

// Row is the figures of one scenario and policy over all seeds.
type Row struct {
	Label   string
	Figures []Figures
}

type column struct {
	title  string
	digits int
	value  func(f Figures) float64
}

func columns() []column {
	return []column{
		{"attained %", 1, func(f Figures) float64 { return f.Attainment }},
		{"per accelerator and s", 2, func(f Figures) float64 { return f.PerAccel }},
		{"worst customer %", 1, func(f Figures) float64 { return f.Worst }},
		{"high priority %", 1, func(f Figures) float64 { return f.High }},
		{"refused inside rate", 0, func(f Figures) float64 { return float64(f.Refused) }},
		{"wrong or cut", 0, func(f Figures) float64 { return float64(f.Wrong) }},
		{"double runs", 0, func(f Figures) float64 { return float64(f.DoubleRuns) }},
		{"tokens over", 0, func(f Figures) float64 { return f.OverTokens }},
		{"tokens uncharged", 0, func(f Figures) float64 { return float64(f.Uncharged) }},
		{"added p95 ms", 0, func(f Figures) float64 { return float64(f.AddedP95) / 1e6 }},
		{"endpoint crashes", 0, func(f Figures) float64 { return float64(f.Lost) }},
		{"late p99 ms", 1, func(f Figures) float64 { return float64(f.Late) / 1e6 }},
		{"requests", 0, func(f Figures) float64 { return float64(f.Requests) }},
	}
}

// WriteTable writes a Markdown table with minimum and maximum over the seeds.
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
			fmt.Fprintf(w, " %s |", extremes(c, r.Figures))
		}
		fmt.Fprintln(w)
	}
	for _, r := range rows {
		for i, f := range r.Figures {
			fmt.Fprintf(w, "<!-- %s, seed %d: worst %s; codes%s; poison%s; unsent %d -->\n", r.Label, i+1, f.WorstName, codes(f.Codes), codes(f.PoisonCodes), f.Unsent)
		}
	}
}

func extremes(c column, list []Figures) string {
	least, most := math.Inf(1), math.Inf(-1)
	for _, f := range list {
		least, most = min(least, c.value(f)), max(most, c.value(f))
	}
	if low, high := fmt.Sprintf("%.*f", c.digits, least), fmt.Sprintf("%.*f", c.digits, most); low != high {
		return low + " to " + high
	}
	return fmt.Sprintf("%.*f", c.digits, least)
}
