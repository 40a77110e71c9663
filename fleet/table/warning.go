package table

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"ragwortshunt.example/fleet/id"
)

// Warning describes a row that is valid but probably a mistake.
type Warning struct {
	Kind    Kind   `json:"kind"`
	Name    string `json:"name"`
	Column  string `json:"column"`
	Message string `json:"message"`
}

// String returns the row, the column and the message.
func (w Warning) String() string {
	return fmt.Sprintf("%s %q: %s: %s", w.Kind, w.Name, w.Column, w.Message)
}

// Warnings returns the probable mistakes in a valid table, ordered by kind and name:
// bursts that are smaller than the largest output limit of a route, pools without
// active endpoints, and zones that can prefill or decode a model but not both.
func Warnings(s *Snapshot) []Warning {
	out := []Warning{}
	for _, name := range slices.Sorted(maps.Keys(s.Accounts)) {
		out = append(out, burstWarnings(s, s.Accounts[name])...)
	}
	out = append(out, poolWarnings(s)...)
	return append(out, routeWarnings(s)...)
}

func burstWarnings(s *Snapshot, a Account) []Warning {
	var short []string
	for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
		r := s.Routes[name]
		usable := !r.Open || r.Account == a.Name
		if usable && r.MaxTokens > a.Burst {
			short = append(short, string(name))
		}
	}
	if len(short) == 0 {
		return nil
	}
	message := fmt.Sprintf("a burst of %d is below max-tokens of route %s", a.Burst, strings.Join(short, ", "))
	return []Warning{{KindAccount, string(a.Name), colBurst, message}}
}

func poolWarnings(s *Snapshot) []Warning {
	active := map[id.Pool]bool{}
	for _, e := range s.Endpoints {
		if e.State == StateActive {
			active[e.Pool] = true
		}
	}
	var out []Warning
	for _, name := range slices.Sorted(maps.Keys(s.Pools)) {
		if !active[name] {
			out = append(out, Warning{KindPool, string(name), colName, "the pool has no active endpoint"})
		}
	}
	return out
}

func routeWarnings(s *Snapshot) []Warning {
	var out []Warning
	zones := Zones(s)
	for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
		r := s.Routes[name]
		if r.Model == "" {
			continue
		}
		for _, zone := range zones {
			if message := missingRoleMessage(s, r.Model, zone); message != "" {
				out = append(out, Warning{KindRoute, string(name), colModel, message})
			}
		}
	}
	return out
}

// missingRoleMessage returns a message if a zone has active endpoints of a model for
// only one of the roles prefill and decode. Otherwise it returns "".
func missingRoleMessage(s *Snapshot, model id.Model, zone id.Zone) string {
	roles := map[Role]bool{}
	for _, e := range ModelEndpoints(s, model, zone) {
		if e.State == StateActive {
			roles[s.Pools[e.Pool].Role] = true
		}
	}
	if len(roles) != 1 {
		return ""
	}
	missing := RolePrefill
	if roles[RolePrefill] {
		missing = RoleDecode
	}
	return fmt.Sprintf("zone %s has no active %s endpoint of model %q", zone, missing, model)
}
