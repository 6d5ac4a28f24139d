package site

import (
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
)

// process is the daemon process of an instance. Tests start, kill and observe it from several goroutines.
type process struct {
	mu   sync.Mutex // guards the fields below
	cmd  *exec.Cmd
	done chan struct{} // closed when cmd has exited
}

func (p *process) current() (*exec.Cmd, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd, p.done
}

func (p *process) replace(cmd *exec.Cmd, done chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.done = cmd, done
}

// StartInstance starts the daemon of an instance and appends its output to the log file. It returns before the daemon is
// ready.
func (s *Site) StartInstance(instance *Instance) error {
	log, err := os.OpenFile(instance.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	cmd := exec.Command(s.config.Binaries.Daemon, "run", instance.Settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return Error.Wrap(err)
	}
	done := make(chan struct{})
	instance.process.replace(cmd, done)
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// Signal sends a signal to the daemon process, for example SIGSTOP to suspend it and SIGCONT to resume it.
func (i *Instance) Signal(signal syscall.Signal) error {
	cmd, _ := i.process.current()
	return Error.Wrap(cmd.Process.Signal(signal))
}

// PID returns the id of the daemon process in decimal.
func (i *Instance) PID() string {
	cmd, _ := i.process.current()
	return strconv.Itoa(cmd.Process.Pid)
}

// Done returns a channel that is closed when the daemon process that was started last has exited.
func (i *Instance) Done() <-chan struct{} {
	_, done := i.process.current()
	return done
}

// Kill sends SIGKILL to the daemon process and waits until it has exited.
func (i *Instance) Kill() {
	cmd, done := i.process.current()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-done
}

// Running reports whether the daemon process was started and has not exited.
func (i *Instance) Running() bool {
	_, done := i.process.current()
	if done == nil {
		return false
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}
