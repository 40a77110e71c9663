// Command harness runs the scripts of the review: it starts the project's routers as separate
// processes beside stand-ins of the platform, its runners and its clients, on loopback
// addresses, and checks a rule of the platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays one case and returns the lines of its result and whether the rule held. An
// error means that the case could not run.
type scenario func(c *cluster, trouble bool) (summary []string, held bool, err error)

var scenarios = map[string]scenario{
	"double-slashes": doubleSlashes,
	"long-prompts":   longPrompts,
	"lost-answers":   lostAnswers,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness SCENARIO DIR")
		os.Exit(exitNotRun)
	}
	os.Exit(run(scenarios[os.Args[1]], os.Args[2]))
}

func run(play scenario, dir string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	c, err := newCluster(dir)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ended
		c.close()
		os.Exit(exitNotRun)
	}()
	summary, held, err := play(c, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	verdict := "the rule was broken"
	if held {
		verdict = "the rule held"
	}
	summary = append(summary, fmt.Sprintf("trouble %t: %s", trouble, verdict))
	if err := c.rec.write(dir, summary); err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	if held {
		return exitHeld
	}
	return exitBroken
}
