package operator

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	sinkCapacity = 4096 // lines
	flushTimeout = time.Second
)

// Sink is a buffered writer of log lines for an output that may be slow or blocked. Write
// never blocks: a line that finds the buffer full is dropped. The number of dropped lines
// is logged as soon as the output accepts lines again.
type Sink struct {
	out   io.Writer
	lines chan []byte
	flush chan chan struct{}
	lost  atomic.Int64
}

// NewSink returns a sink that writes to out until the process ends. Its goroutine is
// never stopped.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, sinkCapacity), flush: make(chan chan struct{})}
	go s.run()
	return s
}

// Write queues a copy of line, or drops it if the buffer is full. It never returns an
// error.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.lost.Add(1)
	}
	return len(line), nil
}

// Lost returns the number of dropped lines that have not been logged yet.
func (s *Sink) Lost() int64 { return s.lost.Load() }

// Sync waits until the queued lines have been written, for flushTimeout at most. It
// always returns nil.
func (s *Sink) Sync() error {
	done := make(chan struct{})
	timeout := time.After(flushTimeout)
	select {
	case s.flush <- done:
	case <-timeout:
		return nil
	}
	select {
	case <-done:
	case <-timeout:
	}
	return nil
}

func (s *Sink) run() {
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		case done := <-s.flush:
			for len(s.lines) > 0 {
				s.write(<-s.lines)
			}
			close(done)
		}
	}
}

// write writes a line to the output, and then the number of dropped lines if there are
// any. Errors are ignored, since the log is the only place to report them.
func (s *Sink) write(line []byte) {
	_, _ = s.out.Write(line)
	if n := s.lost.Swap(0); n > 0 {
		fmt.Fprintf(s.out, "{\"level\":\"warn\",\"msg\":\"log: Lines were lost.\",\"count\":%d}\n", n)
	}
}
