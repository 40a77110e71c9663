package operator

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"ragwortshunt.example/ctl/internal/router"
	"ragwortshunt.example/fleet/id"
)

// answer holds the reply of one router, or the error of the call.
type answer struct {
	Router string        `json:"router"`
	Object router.Object `json:"reply,omitempty"`
	Error  string        `json:"error,omitempty"`
}

func (o *operator) statusCommand() *cli.Command {
	return &cli.Command{Name: "status", Usage: "print the status of the routers", Action: withTimeout(o.status)}
}

// status prints the status of every router that replies. The returned error joins
// the errors of all other routers.
func (o *operator) status(ctx context.Context, c *cli.Command) error {
	if err := rejectArguments(c); err != nil {
		return err
	}
	baseURLs, err := routerURLs(c)
	if err != nil {
		return err
	}
	var answers []answer
	var errs []error
	for _, u := range baseURLs {
		a := answer{Router: u}
		a.Object, err = router.Status(ctx, u)
		if err != nil {
			a.Error = err.Error()
			errs = append(errs, fmt.Errorf("%s: %w", u, err))
		}
		answers = append(answers, a)
	}
	if err := o.printAnswers(answers); err != nil {
		return err
	}
	return markReported(o.json, errors.Join(errs...))
}

// reportedError is an error that the JSON output already contains.
type reportedError struct{ err error }

func (e reportedError) Error() string { return e.err.Error() }

func (e reportedError) Unwrap() error { return e.err }

func markReported(json bool, err error) error {
	if err == nil || !json {
		return err
	}
	return reportedError{err}
}

func (o *operator) printAnswers(answers []answer) error {
	if o.json {
		return o.printJSON(map[string]any{"routers": answers})
	}
	for i, a := range answers {
		if a.Object == nil {
			continue
		}
		if i > 0 {
			fmt.Fprintln(o.Out)
		}
		fmt.Fprintln(o.Out, a.Router)
		if err := printObject(o.Out, "", a.Object); err != nil {
			return err
		}
	}
	return nil
}

func (o *operator) explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print what became of a request",
		ArgsUsage: "REQUEST-ID",
		Action:    withTimeout(o.explain),
	}
}

// explain prints the record of a request from the first router that knows it.
func (o *operator) explain(ctx context.Context, c *cli.Command) error {
	request, err := singleArgument(c, "REQUEST-ID")
	if err != nil {
		return err
	}
	baseURLs, err := routerURLs(c)
	if err != nil {
		return err
	}
	var errs []error
	for _, u := range baseURLs {
		object, err := router.Explain(ctx, u, id.Request(request))
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", u, err))
			continue
		}
		if o.json {
			return o.printJSON(answer{Router: u, Object: object})
		}
		return printObject(o.Out, "", object)
	}
	return errors.Join(errs...)
}
