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
	errStillRunning = errors.New("process is still running")
	errExited       = errors.New("process has exited")
)

// Process is one child process. Its output goes to the files NAME.out and NAME.log.
type Process struct {
	Name   string
	output []string // paths of standard output and standard error
	cmd    *exec.Cmd
	done   chan struct{} // closed when the process has exited
	err    error         // exit error; valid after done is closed
}

// starter starts all child processes from one OS thread, which lives until jobs is closed.
// Because of Pdeathsig, the kernel kills a child when the thread that started it exits,
// so no child outlives a test process that crashes or times out.
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

// start starts a program and redirects its output to files in dir.
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

// wait waits until the process has exited and closes done.
func (p *Process) wait() {
	p.err = p.cmd.Wait()
	close(p.done)
}

// Running reports whether the process has not exited yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() error {
	return p.signalAndWait(syscall.SIGKILL, killTimeout)
}

// Pause suspends the process with SIGSTOP until Resume.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, the signal for a graceful shutdown. It returns an error
// unless the process exits with status 0 within the timeout.
func (p *Process) Terminate(timeout time.Duration) error {
	if err := p.signalAndWait(syscall.SIGTERM, timeout); err != nil {
		return err
	}
	if p.err != nil {
		return fmt.Errorf("%s: %w", p.Name, p.err)
	}
	return nil
}

// signalAndWait sends a signal and waits until the process has exited.
func (p *Process) signalAndWait(s syscall.Signal, timeout time.Duration) error {
	if err := p.signal(s); err != nil {
		return err
	}
	select {
	case <-p.done:
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("%s: %w %s after signal: %s", p.Name, errStillRunning, timeout, s)
	}
}

func (p *Process) signal(s syscall.Signal) error {
	if !p.Running() {
		return fmt.Errorf("%s: %w: %w", p.Name, errExited, p.err)
	}
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	return nil
}
