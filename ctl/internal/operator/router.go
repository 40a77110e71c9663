package operator

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"ragwortshunt.example/ctl/internal/router"
	"ragwortshunt.example/fleet/id"
)

// answer is what one router replied.
type answer struct {
	Router string        `json:"router"`
	Object router.Object `json:"reply,omitempty"`
	Error  string        `json:"error,omitempty"`
}

func (o *operator) statusCommand() *cli.Command {
	return &cli.Command{Name: "status", Usage: "print the status of the routers", Action: action(o.status)}
}

// status prints the status of every router that answers. Its error covers the
// others.
func (o *operator) status(ctx context.Context, c *cli.Command) error {
	if err := noArguments(c); err != nil {
		return err
	}
	bases, err := routerURLs(c)
	if err != nil {
		return err
	}
	var answers []answer
	var errs []error
	for _, base := range bases {
		a := answer{Router: base}
		a.Object, err = router.Status(ctx, base)
		if err != nil {
			a.Error = err.Error()
			errs = append(errs, fmt.Errorf("%s: %w", base, err))
		}
		answers = append(answers, a)
	}
	if err := o.printAnswers(answers); err != nil {
		return err
	}
	return reported(o.json, errors.Join(errs...))
}

// reportedError is an error that the JSON output contains already.
type reportedError struct{ err error }

func (e reportedError) Error() string { return e.err.Error() }

func (e reportedError) Unwrap() error { return e.err }

func reported(json bool, err error) error {
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
		Action:    action(o.explain),
	}
}

// explain prints the answer of the first router that knows the request.
func (o *operator) explain(ctx context.Context, c *cli.Command) error {
	request, err := argument(c, "REQUEST-ID")
	if err != nil {
		return err
	}
	bases, err := routerURLs(c)
	if err != nil {
		return err
	}
	var errs []error
	for _, base := range bases {
		object, err := router.Explain(ctx, base, id.Request(request))
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", base, err))
			continue
		}
		if o.json {
			return o.printJSON(answer{Router: base, Object: object})
		}
		return printObject(o.Out, "", object)
	}
	return errors.Join(errs...)
}
