// Package limit is described in docs/design.md.
package limit
