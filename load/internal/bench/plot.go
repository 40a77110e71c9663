package bench

import (
	"fmt"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The dimensions of a plot.
const (
	plotWidth     = 30 * vg.Centimeter
	plotHeight    = 12 * vg.Centimeter
	barGroupWidth = 2.4 * vg.Centimeter
)

// plotMetrics are the measures that are plotted. The name is part of the file
// name.
var plotMetrics = []struct {
	name, title string
	value       func(r Row) float64
}{
	{"good", "good requests, % of those sent", func(r Row) float64 { return 100 * r.GoodShare }},
	{"wasted", "wasted prefill, % of computed tokens", func(r Row) float64 { return 100 * r.WastedPrefill }},
	{"worst", "worst-served account, % of its fair share", func(r Row) float64 { return 100 * r.WorstShare }},
	{"refused", "refused within rate, % of requests within rate", func(r Row) float64 { return 100 * r.RefusedInRateShare }},
}

// writePlots writes one bar chart per deployment and measure, with one group of
// bars per trace and one bar per variant.
func writePlots(dir string, rows []Row) error {
	deployments := distinct(rows, func(r Row) string { return r.Deployment })
	for _, d := range deployments {
		var deploymentRows []Row
		for _, r := range rows {
			if r.Deployment == d {
				deploymentRows = append(deploymentRows, r)
			}
		}
		for _, m := range plotMetrics {
			path := filepath.Join(dir, fmt.Sprintf("bench-%s-%s.png", d, m.name))
			if err := writePlot(path, d+": "+m.title, deploymentRows, m.value); err != nil {
				return err
			}
		}
	}
	return nil
}

// distinct returns the distinct values of an attribute of the rows, in the order
// of their first occurrence.
func distinct(rows []Row, attribute func(Row) string) []string {
	var out []string
	for _, r := range rows {
		if s := attribute(r); !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

func writePlot(path, title string, rows []Row, value func(Row) float64) error {
	p := plot.New()
	p.Title.Text = title
	p.Y.Min = 0
	p.Legend.Top = true
	variants := distinct(rows, func(r Row) string { return r.Variant })
	names := distinct(rows, func(r Row) string { return filepath.Base(r.Trace) })
	width := barGroupWidth / vg.Length(len(variants))
	for i, v := range variants {
		bars, err := plotter.NewBarChart(values(rows, v, names, value), width)
		if err != nil {
			return fmt.Errorf("plot %s: %w", path, err)
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = width * vg.Length(float64(i)-float64(len(variants)-1)/2)
		p.Add(bars)
		p.Legend.Add(v, bars)
	}
	p.NominalX(names...)
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	return nil
}

// values returns the values of a variant in the order of the traces.
func values(rows []Row, variant string, names []string, value func(Row) float64) plotter.Values {
	out := make(plotter.Values, len(names))
	for _, r := range rows {
		if r.Variant == variant {
			out[slices.Index(names, filepath.Base(r.Trace))] = value(r)
		}
	}
	return out
}
