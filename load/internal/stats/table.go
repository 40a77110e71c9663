package stats

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// maxTableProblems limits how many problems the text report lists.
const maxTableProblems = 10

// WriteTable writes the report as an aligned text table, followed by the
// refusals by code and the first problems.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "account\tsent\twhole\tgood\tgood/s\trefused\tnot run\tbroken\twrong\tfirst token p50/p95/p99 ms\tbetween p50/p95/p99 ms\t")
	for _, s := range r.Accounts {
		s.writeRow(t)
	}
	r.Total.writeRow(t)
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	for _, code := range slices.Sorted(maps.Keys(r.Total.Refused)) {
		fmt.Fprintf(w, "refused %s: %d\n", code, r.Total.Refused[code])
	}
	if r.Total.Unreachable+r.Total.Stopped > 0 {
		fmt.Fprintf(w, "no router reached: %d, stopped at the end of the load: %d\n", r.Total.Unreachable, r.Total.Stopped)
	}
	for _, p := range r.Problems[:min(len(r.Problems), maxTableProblems)] {
		fmt.Fprintf(w, "%s: account %s, flow %s, request %s: %s\n", p.Status, p.Account, p.Flow, p.RequestID, p.Detail)
	}
	if r.WorstAccount != "" {
		fmt.Fprintf(w, "worst-served account: %s\n", r.WorstAccount)
	}
	return nil
}

func (s Summary) writeRow(w io.Writer) {
	var refused int64
	for _, n := range s.Refused {
		refused += n
	}
	fmt.Fprintf(w, "%s\t%d\t%d\t%.1f%%\t%.2f\t%d\t%d\t%d\t%d\t%s\t%s\t\n",
		s.Account, s.Sent, s.Whole, 100*s.GoodShare, s.GoodPerSecond, refused, s.RefusedNotRun,
		s.Broken, s.Wrong, s.FirstToken.format(), s.BetweenTokens.format())
}

func (q Quantiles) format() string {
	if q.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f/%.0f/%.0f", q.P50, q.P95, q.P99)
}
