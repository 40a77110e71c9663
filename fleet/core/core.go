// Package core is described in docs/design.md.
package core
