// Command second runs the scripts of the cases in review/6 to review/10.
//
// It starts the project's routers as separate processes beside stand-ins for the platform's
// store, the runners and the clients, and checks what these see. Its exit codes are those of
// a case: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// cleanup ends all processes that the case has started.
var cleanup = func() {}

// unable ends a case that can't run.
func unable(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "can't run: "+format+"\n", args...)
	cleanup()
	os.Exit(exitUnable)
}

// Record writes what was sent, answered and run to record.txt.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(dir string) *Record {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		unable("%v", err)
	}
	return &Record{file: f, start: time.Now()}
}

// Printf writes one line with the time since the start of the case.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// Say writes a line to record.txt and to the standard output.
func (r *Record) Say(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// The values of TROUBLE that all cases know.
const (
	troubleNone = "0"
	troubleAll  = "1"
)

// cases holds the function of each case. It returns whether the rule held.
var cases = map[string]func(rec *Record, trouble string) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE FOLDER")
		os.Exit(exitUnable)
	}
	rec := newRecord(os.Args[2])
	trouble := os.Getenv("TROUBLE")
	if trouble == "" {
		trouble = troubleAll
	}
	time.AfterFunc(115*time.Second, func() { unable("the case takes too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		unable("interrupted")
	}()
	held := cases[os.Args[1]](rec, trouble)
	cleanup()
	if !held {
		rec.Say("the rule was broken")
		os.Exit(exitBroken)
	}
	rec.Say("the rule held")
	os.Exit(exitHeld)
}
