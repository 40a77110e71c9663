// Package member is described in docs/design.md.
package member
