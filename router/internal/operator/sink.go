package operator

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	sinkLines = 4096 // lines that wait for the output
	flushTime = time.Second
)

// Sink passes log lines on to an output that may be slow or stuck. Writing to it
// never blocks: lines that find it full are lost, and their number is written as soon
// as the output takes lines again.
type Sink struct {
	out   io.Writer
	lines chan []byte
	flush chan chan struct{}
	lost  atomic.Int64
}

// NewSink returns a sink that writes to out until the process ends.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, sinkLines), flush: make(chan chan struct{})}
	go s.run()
	return s
}

// Write queues a copy of a line.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.lost.Add(1)
	}
	return len(line), nil
}

// Lost returns the number of lines that have been lost and not yet told.
func (s *Sink) Lost() int64 { return s.lost.Load() }

// Sync waits until the lines that are queued have been written, for a second at most.
func (s *Sink) Sync() error {
	done := make(chan struct{})
	timeout := time.After(flushTime)
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

// write passes a line on. A failed write has nowhere to be reported.
func (s *Sink) write(line []byte) {
	_, _ = s.out.Write(line)
	if n := s.lost.Swap(0); n > 0 {
		fmt.Fprintf(s.out, "{\"level\":\"warn\",\"msg\":\"log: Lines were lost.\",\"count\":%d}\n", n)
	}
}
