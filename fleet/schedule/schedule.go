// Package schedule is described in docs/design.md.
package schedule
