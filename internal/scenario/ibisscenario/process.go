package ibisscenario

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const (
	program     = "ibisridge"
	stopTimeout = 40 * time.Second
)

// process is one running ibisridge; its output is in NAME.log in the directory of the scenario.
type process struct {
	name   string
	cmd    *exec.Cmd
	log    *os.File
	ended  chan struct{}
	err    error
	frozen bool
}

func startProcess(dir, name string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	p := &process{
		name:  name,
		cmd:   exec.Command(program, args...),
		log:   log,
		ended: make(chan struct{}),
	}
	p.cmd.Dir = dir
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	// A run of the tests that is cut off takes its processes along: they would hold the addresses of the next one.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := p.cmd.Start(); err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	return p, nil
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *process) freeze() error {
	p.frozen = true
	return p.cmd.Process.Signal(syscall.SIGSTOP)
}

func (p *process) thaw() error {
	p.frozen = false
	return p.cmd.Process.Signal(syscall.SIGCONT)
}

// kill ends the process without a word to anybody.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// terminate asks the process to end, without waiting for that.
func (p *process) terminate() error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("stop %s: %w", p.name, err)
	}
	return nil
}

// stop asks the process to end, unless it has been asked and has ended, and fails where it does not end cleanly.
func (p *process) stop() error {
	if err := p.terminate(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	select {
	case <-p.ended:
	case <-time.After(stopTimeout):
		p.kill()
		return fmt.Errorf("stop %s: still running after %s", p.name, stopTimeout)
	}
	if p.err != nil {
		return fmt.Errorf("stop %s: %w", p.name, p.err)
	}
	return nil
}

// signal does one of the verbs that every process has; known is false for other verbs.
func (p *process) signal(verb string) (known bool, err error) {
	switch verb {
	case "freeze":
		return true, p.freeze()
	case "thaw":
		return true, p.thaw()
	case "kill":
		p.kill()
		return true, nil
	case "stop":
		return true, p.stop()
	case "terminate":
		return true, p.terminate()
	case "hangup":
		return true, p.cmd.Process.Signal(syscall.SIGHUP)
	}
	return false, nil
}
