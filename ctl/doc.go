// Package ctl is the root of the module that contains ragwortctl, the operators'
// command-line tool.
package ctl
