// Package router is the root of the module of the same name.
package router
