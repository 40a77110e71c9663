package cluster

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

var (
	errStillRuns = errors.New("process still runs")
	errEnded     = errors.New("process has ended")
)

// Process is one child process. Its output goes to files named after it.
type Process struct {
	Name   string
	output []string // paths of standard output and standard error
	cmd    *exec.Cmd
	done   chan struct{} // closed when the process has ended
	err    error         // valid after done
}

// starter starts processes from one thread that lives as long as the starter. The
// kernel kills a child when the thread that started it ends, so that no child
// outlives a test process that crashes or times out.
type starter struct {
	jobs chan func()
}

func newStarter() *starter {
	s := &starter{jobs: make(chan func())}
	go func() {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		for job := range s.jobs {
			job()
		}
	}()
	return s
}

// start runs a program with its output in dir.
func (s *starter) start(dir, name, program string, args ...string) (*Process, error) {
	p := &Process{Name: name, done: make(chan struct{})}
	p.cmd = exec.Command(program, args...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	for _, out := range []struct {
		suffix string
		set    func(f *os.File)
	}{
		{".out", func(f *os.File) { p.cmd.Stdout = f }},
		{".log", func(f *os.File) { p.cmd.Stderr = f }},
	} {
		f, err := os.Create(filepath.Join(dir, name+out.suffix))
		if err != nil {
			return nil, fmt.Errorf("start %s: %w", name, err)
		}
		defer f.Close()
		out.set(f)
		p.output = append(p.output, f.Name())
	}
	started := make(chan error)
	s.jobs <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go p.wait()
	return p, nil
}

func (p *Process) wait() {
	p.err = p.cmd.Wait()
	close(p.done)
}

// Running tells whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() error {
	return p.end(syscall.SIGKILL, killTime)
}

// Pause stops the process until Resume.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Terminate asks the process to end and returns an error unless it exits with
// status 0 within the bound.
func (p *Process) Terminate(bound time.Duration) error {
	if err := p.end(syscall.SIGTERM, bound); err != nil {
		return err
	}
	if p.err != nil {
		return fmt.Errorf("%s: %w", p.Name, p.err)
	}
	return nil
}

func (p *Process) end(s syscall.Signal, bound time.Duration) error {
	if err := p.signal(s); err != nil {
		return err
	}
	select {
	case <-p.done:
		return nil
	case <-time.After(bound):
		return fmt.Errorf("%s: %w %s after %s", p.Name, errStillRuns, bound, s)
	}
}

func (p *Process) signal(s syscall.Signal) error {
	if !p.Running() {
		return fmt.Errorf("%s: %w: %w", p.Name, errEnded, p.err)
	}
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	return nil
}
