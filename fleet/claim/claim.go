// Package claim is described in docs/design.md.
package claim
