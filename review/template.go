package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"sort"
	"strings"
)

// render fills in a settings template as the deploy page says: {{a.b}}, {{a.0}}, {{a|json}},
// sections {{#a}}..{{/a}} with {{.}}, {{@}} and {{,}}, and {{^a}}..{{/a}}.
func render(template string, scope any) string {
	out, rest := renderUntil(template, "", []frame{{value: scope}})
	return out + rest
}

// frame is an entry of a section, or the whole scope.
type frame struct {
	value any
	key   string
	last  bool
}

var tag = regexp.MustCompile(`\{\{([^{}]+)\}\}`)

// renderUntil renders up to the end of the section with the given name, and returns the rest.
func renderUntil(text, section string, frames []frame) (out, rest string) {
	for {
		at := tag.FindStringSubmatchIndex(text)
		if at == nil {
			return out + text, ""
		}
		out += text[:at[0]]
		name := text[at[2]:at[3]]
		text = text[at[1]:]
		switch name[0] {
		case '/':
			if name[1:] == section {
				return out, text
			}
		case '#', '^':
			out += renderSection(text, name, frames)
			_, text = renderUntil(text, name[1:], frames)
		default:
			out += renderValue(name, frames)
		}
	}
}

func renderSection(text, name string, frames []frame) string {
	v := lookup(name[1:], frames)
	if name[0] == '^' {
		if isPresent(v) {
			return ""
		}
		out, _ := renderUntil(text, name[1:], frames)
		return out
	}
	if !isPresent(v) {
		return ""
	}
	out := ""
	for _, f := range entries(v) {
		part, _ := renderUntil(text, name[1:], append(slices.Clone(frames), f))
		out += part
	}
	return out
}

// entries returns the entries of a list or a table, or the value itself.
func entries(v any) []frame {
	var out []frame
	switch v := v.(type) {
	case []any:
		for i, e := range v {
			out = append(out, frame{value: e, key: fmt.Sprint(i)})
		}
	case map[string]any:
		keys := make([]string, 0, len(v))
		for k := range v {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for _, k := range keys {
			out = append(out, frame{value: v[k], key: k})
		}
	default:
		out = append(out, frame{value: v})
	}
	if len(out) > 0 {
		out[len(out)-1].last = true
	}
	return out
}

func isPresent(v any) bool { return v != nil && v != false && v != "" }

func renderValue(name string, frames []frame) string {
	top := frames[len(frames)-1]
	switch name {
	case ",":
		if top.last {
			return ""
		}
		return ","
	case "@":
		return top.key
	}
	name, asJSON := strings.CutSuffix(name, "|json")
	v := lookup(name, frames)
	if v == nil {
		return ""
	}
	if list, ok := v.([]any); ok && !asJSON {
		var parts []string
		for _, e := range list {
			parts = append(parts, fmt.Sprint(e))
		}
		return strings.Join(parts, ",")
	}
	if _, isTable := v.(map[string]any); asJSON || isTable {
		data, _ := json.Marshal(v)
		return string(data)
	}
	return fmt.Sprint(v)
}

// lookup resolves a name in the innermost frame that has it.
func lookup(name string, frames []frame) any {
	if name == "." {
		return frames[len(frames)-1].value
	}
	for i := len(frames) - 1; i >= 0; i-- {
		if v := resolve(frames[i].value, strings.Split(name, ".")); v != nil {
			return v
		}
	}
	return nil
}

func resolve(v any, path []string) any {
	for _, p := range path {
		switch t := v.(type) {
		case map[string]any:
			v = t[p]
		case []any:
			n := -1
			if _, err := fmt.Sscan(p, &n); err != nil || n < 0 || n >= len(t) {
				return nil
			}
			v = t[n]
		default:
			return nil
		}
	}
	return v
}
