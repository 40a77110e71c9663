package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"ragwortshunt.example/ctl/internal/platform"
	"ragwortshunt.example/fleet/table"
)

// failure is the JSON form of an error.
type failure struct {
	Error       string               `json:"error"`
	ExitCode    int                  `json:"exit-code"`
	TableErrors table.Errors         `json:"faults,omitempty"`
	Conflict    *platform.RacedError `json:"conflict,omitempty"`
}

// printError prints an error: as text, or with --json as an object unless the
// output already contains the error.
func (o *operator) printError(err error) {
	if !o.json {
		fmt.Fprintln(o.Err, "ragwortctl:", err)
		return
	}
	var printed reportedError
	if errors.As(err, &printed) {
		return
	}
	out := failure{Error: err.Error(), ExitCode: exitCode(err)}
	errors.As(err, &out.TableErrors)
	errors.As(err, &out.Conflict)
	if err := o.printJSON(out); err != nil {
		fmt.Fprintln(o.Err, "ragwortctl:", err)
	}
}

func (o *operator) printJSON(v any) error {
	e := json.NewEncoder(o.Out)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("print the result: %w", err)
	}
	return nil
}

// printChanges prints one line for each change: "+" for added rows, "-" for
// removed and "~" for changed ones.
func (o *operator) printChanges(changes []table.Change) {
	signs := map[table.Op]string{table.OpAdd: "+", table.OpRemove: "-", table.OpChange: "~"}
	for _, c := range changes {
		fmt.Fprintf(o.Out, "%s %s %s", signs[c.Op], c.Kind, c.Name)
		for _, column := range c.Columns {
			fmt.Fprint(o.Out, " "+formatColumn(c.Op, column))
		}
		fmt.Fprintln(o.Out)
	}
}

func formatColumn(op table.Op, c table.ColumnChange) string {
	switch op {
	case table.OpAdd:
		return c.Column + "=" + c.New
	case table.OpRemove:
		return c.Column + "=" + c.Old
	}
	return fmt.Sprintf("%s=%s->%s", c.Column, c.Old, c.New)
}

// printObject prints a JSON object of any shape: first the fields that fit on one
// line, then each nested object and list of objects under its name.
func printObject(w io.Writer, title string, object map[string]any) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if title != "" {
		fmt.Fprintf(t, "%s\n", title)
	}
	names := slices.Sorted(maps.Keys(object))
	for _, name := range names {
		if !isNested(object[name]) {
			fmt.Fprintf(t, "%s\t%s\n", name, formatInline(object[name]))
		}
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("print the result: %w", err)
	}
	for _, name := range names {
		if err := printNested(w, joinTitle(title, name), object[name]); err != nil {
			return err
		}
	}
	return nil
}

func joinTitle(title, name string) string {
	if title == "" {
		return name
	}
	return title + " " + name
}

func printNested(w io.Writer, title string, value any) error {
	switch v := value.(type) {
	case map[string]any:
		fmt.Fprintln(w)
		return printObject(w, title, v)
	case []any:
		if !isNested(value) {
			return nil
		}
		fmt.Fprintln(w)
		return printList(w, title, v)
	}
	return nil
}

// printList prints a list of objects as a table with one column for each field.
func printList(w io.Writer, title string, list []any) error {
	fields := map[string]bool{}
	for _, item := range list {
		object, _ := item.(map[string]any)
		for name := range object {
			fields[name] = true
		}
	}
	names := slices.Sorted(maps.Keys(fields))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s\n%s\n", title, strings.Join(names, "\t"))
	for _, item := range list {
		object, _ := item.(map[string]any)
		cells := make([]string, 0, len(names))
		for _, name := range names {
			cells = append(cells, formatInline(object[name]))
		}
		fmt.Fprintln(t, strings.Join(cells, "\t"))
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("print the result: %w", err)
	}
	return nil
}

// isNested reports whether printObject prints a value in a section of its own: an
// object or a non-empty list of objects.
func isNested(value any) bool {
	switch v := value.(type) {
	case map[string]any:
		return true
	case []any:
		return len(v) > 0 && !slices.ContainsFunc(v, func(item any) bool {
			_, ok := item.(map[string]any)
			return !ok
		})
	}
	return false
}

// formatInline formats a value on one line.
func formatInline(value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case string:
		return replaceControls(v)
	}
	raw, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(raw)
}

// replaceControls replaces control characters, which could contain escape sequences
// for the terminal.
func replaceControls(v string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r >= 0x7f && r < 0xa0 {
			return '?'
		}
		return r
	}, v)
}
