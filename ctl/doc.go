// Package ctl is the root of the module of the same name.
package ctl
