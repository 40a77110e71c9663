// Package load is the root of the module of the same name.
package load
