package bench

import (
	"fmt"
	"io"
	"text/tabwriter"

	"ragwortshunt.example/fleet/id"
)

// Row holds the means over the seeds of one variant on one trace.
// LowestWorstShare is the minimum over the seeds and not a mean.
type Row struct {
	Deployment          string     `json:"deployment"`
	Trace               string     `json:"trace"`
	Variant             string     `json:"variant"`
	Seeds               int        `json:"seeds"`
	GoodShare           float64    `json:"good-share"`
	GoodPerSecond       float64    `json:"good-per-s"`
	GoodTokensPerSecond float64    `json:"good-tokens-per-s"`
	WastedPrefill       float64    `json:"wasted-prefill"`
	WorstShare          float64    `json:"worst-share"`
	LowestWorstShare    float64    `json:"worst-share-lowest"`
	WorstAccount        id.Account `json:"worst-account"` // account of LowestWorstShare
	RefusedInRateShare  float64    `json:"refused-in-rate-share"`
	Bottleneck          string     `json:"bottleneck"`
}

type rowKey struct{ deployment, trace, variant string }

// averageBySeeds combines the results that differ only in their seeds. The rows
// are in the order of the first result of each.
func averageBySeeds(results []Result) []Row {
	index := map[rowKey]int{}
	var rows []Row
	for _, r := range results {
		k := rowKey{r.Deployment, r.Trace, r.Variant}
		i, ok := index[k]
		if !ok {
			i = len(rows)
			index[k] = i
			rows = append(rows, Row{
				Deployment: r.Deployment, Trace: r.Trace, Variant: r.Variant, Bottleneck: r.Bottleneck,
				LowestWorstShare: r.WorstShare, WorstAccount: r.WorstAccount,
			})
		}
		rows[i].add(r)
	}
	for i := range rows {
		rows[i].divide(float64(rows[i].Seeds))
	}
	return rows
}

func (w *Row) add(r Result) {
	w.Seeds++
	w.GoodShare += r.GoodShare
	w.GoodPerSecond += r.GoodPerSecond
	w.GoodTokensPerSecond += r.GoodTokensPerSecond
	w.WastedPrefill += r.WastedPrefill
	w.WorstShare += r.WorstShare
	w.RefusedInRateShare += r.RefusedInRateShare
	if r.WorstShare < w.LowestWorstShare {
		w.LowestWorstShare, w.WorstAccount = r.WorstShare, r.WorstAccount
	}
}

func (w *Row) divide(n float64) {
	w.GoodShare /= n
	w.GoodPerSecond /= n
	w.GoodTokensPerSecond /= n
	w.WastedPrefill /= n
	w.WorstShare /= n
	w.RefusedInRateShare /= n
}

// writeTables writes one table per deployment and trace. The rows of a table must
// follow one another.
func writeTables(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	var last rowKey
	for _, r := range rows {
		k := rowKey{deployment: r.Deployment, trace: r.Trace}
		if k != last {
			last = k
			if err := t.Flush(); err != nil {
				return fmt.Errorf("write table: %w", err)
			}
			fmt.Fprintf(w, "\n%s, %s: bottleneck %s, mean of %d seeds\n", r.Deployment, r.Trace, r.Bottleneck, r.Seeds)
			fmt.Fprintln(t, "variant\tgood %\tgood/s\tgood tokens/s\twasted prefill %\tworst account %\tlowest seed %\trefused in rate %\t")
		}
		fmt.Fprintf(t, "%s\t%.1f\t%.2f\t%.0f\t%.2f\t%.1f\t%.1f (%s)\t%.2f\t\n",
			r.Variant, 100*r.GoodShare, r.GoodPerSecond, r.GoodTokensPerSecond, 100*r.WastedPrefill,
			100*r.WorstShare, 100*r.LowestWorstShare, r.WorstAccount, 100*r.RefusedInRateShare)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}
