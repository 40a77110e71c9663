// Package order is described in docs/design.md.
package order
