// Command review-3 runs the scripts of the third review.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// errBroken marks a rule that was broken.
var errBroken = errors.New("the rule was broken")

// cases are the scripts by the numbers of their folders. trouble says whether to bring about the
// disruption.
var cases = map[string]func(c *cluster, trouble bool) error{
	"11": splitStream,
	"12": longParts,
	"13": lateCrash,
}

func main() { os.Exit(runCase()) }

// runCase returns 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
func runCase() int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: review-3 FOLDER")
		return 2
	}
	folder := os.Args[1]
	script, ok := cases[filepath.Base(folder)]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", folder)
		return 2
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	c, err := newCluster(rec)
	if err != nil {
		rec.say("%v", err)
		return 2
	}
	defer c.stop()
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	done := make(chan error, 1)
	go func() { done <- script(c, os.Getenv("TROUBLE") != "0") }()
	select {
	case s := <-stops:
		rec.say("ended by %v", s)
		return 2
	case err = <-done:
	}
	switch {
	case err == nil:
		rec.say("the rule held")
		return 0
	case errors.Is(err, errBroken):
		rec.say("%v", err)
		return 1
	}
	rec.say("%v", err)
	return 2
}
