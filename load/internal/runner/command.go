package runner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"
	"time"

	"ragwortshunt.example/load/internal/stats"
	"ragwortshunt.example/load/internal/workload"
)

// ErrWrongAnswers means that at least one answer was wrong.
var ErrWrongAnswers = errors.New("answers were wrong")

// Arguments are the arguments of the subcommand run.
type Arguments struct {
	Options
	WorkloadPath  string        // path of the workload file
	ReportPath    string        // path of the JSON report; empty for none
	FirstToken    time.Duration // overrides the target of all flows; 0 keeps the workload's targets
	BetweenTokens time.Duration // overrides the target of all flows; 0 keeps the workload's targets
	Table         io.Writer     // receives the report as a text table
}

// RunWorkload runs a workload and writes the report. It returns an error that wraps
// ErrWrongAnswers if an answer was wrong.
func RunWorkload(ctx context.Context, args Arguments) error {
	w, err := workload.Load(args.WorkloadPath)
	if err != nil {
		return err
	}
	for i := range w.Flows {
		setTargets(&w.Flows[i].Targets, args)
	}
	if args.Routers, err = checkRouters(args.Routers); err != nil {
		return err
	}
	args.Workload = w
	args.Run = fmt.Sprintf("load-%d-%d", args.Seed, time.Now().UnixMilli())
	report := Run(ctx, args.Options)
	if err := report.WriteTable(args.Table); err != nil {
		return err
	}
	if err := writeReport(args.ReportPath, report); err != nil {
		return err
	}
	if report.Total.Wrong > 0 {
		return fmt.Errorf("%w: %d", ErrWrongAnswers, report.Total.Wrong)
	}
	return nil
}

// setTargets applies the overrides of args to the targets of a flow.
func setTargets(t *workload.Targets, args Arguments) {
	if args.FirstToken > 0 {
		t.FirstToken = args.FirstToken
	}
	if args.BetweenTokens > 0 {
		t.BetweenTokens = args.BetweenTokens
	}
}

// checkRouters validates the base URLs and removes trailing slashes.
func checkRouters(routers []string) ([]string, error) {
	var out []string
	for _, text := range routers {
		u, err := url.Parse(text)
		if err != nil || u.Scheme != "http" || u.Host == "" {
			return nil, fmt.Errorf("--router %s: want http://ip:port", text)
		}
		out = append(out, strings.TrimSuffix(text, "/"))
	}
	return out, nil
}

func writeReport(path string, report stats.Report) error {
	if path == "" {
		return nil
	}
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
