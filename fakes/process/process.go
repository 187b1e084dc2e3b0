// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package process runs the router program as boxes that can be killed, paused and
// stopped. It signals only processes that it has started.
package process

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"

	"runridge.example/runridge/modules/setting"
)

// Process is a box that runs in its own process, so that it can be killed and paused.
type Process struct {
	Name       string
	CallerAddr string
	// OperatorAddr is where the box serves its status to operators.
	OperatorAddr string
	// RelayAddr and ReadyAddr are empty if the box has no routed services.
	RelayAddr, ReadyAddr string
	program, dir         string
	settings             setting.Box
	logPath              string
	cmd                  *exec.Cmd
	done                 chan struct{}
	err                  error
}

const settingsMode = 0o600

// Start starts the router program with settings, which it writes to a file in dir beside the
// program's log, and waits until the program listens. Of an address with port 0 the program
// chooses the port. Start errors if the program ends before it listens.
func Start(program, dir string, settings setting.Box) (*Process, error) {
	p := &Process{
		Name: settings.Name, program: program, dir: dir, settings: settings,
		logPath: filepath.Join(dir, settings.Name+".log"), done: make(chan struct{}),
	}
	if err := p.WriteSettings(settings); err != nil {
		return nil, err
	}
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, settingsMode)
	if err != nil {
		return nil, err
	}
	begin, err := logFile.Seek(0, io.SeekEnd)
	if err != nil {
		return nil, errors.Join(err, logFile.Close())
	}
	p.cmd = exec.Command(program, "serve", "--settings", p.settingsPath())
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Join(fmt.Errorf("start %s: %w", program, err), logFile.Close())
	}
	go func() {
		p.err = p.cmd.Wait()
		_ = logFile.Close()
		close(p.done)
	}()
	if err := p.awaitStart(begin); err != nil {
		p.Kill()
		return nil, err
	}
	return p, nil
}

// Again starts the program once more after its end, at the same addresses.
func (p *Process) Again() (*Process, error) {
	return Start(p.program, p.dir, p.settings)
}

func (p *Process) settingsPath() string { return filepath.Join(p.dir, p.Name+".json") }

// WriteSettings writes the settings file that the process reads at its start and after Hangup.
func (p *Process) WriteSettings(settings setting.Box) error {
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	return os.WriteFile(p.settingsPath(), data, settingsMode)
}

// Settings returns the settings that the process was started with, with the ports that it chose.
func (p *Process) Settings() setting.Box { return p.settings }

// ID returns the process id.
func (p *Process) ID() int { return p.cmd.Process.Pid }

// startPollInterval is the interval at which the log of a starting process is read.
const startPollInterval = 2 * time.Millisecond

// awaitStart waits until the process has logged, after offset, the addresses at which it
// listens, and stores them in p. If the process ends first, the error contains its log.
func (p *Process) awaitStart(offset int64) error {
	for {
		// Checked before the log is read, so that the log of an ended process is complete.
		ended := false
		select {
		case <-p.done:
			ended = true
		default:
		}
		text, err := p.Log()
		if err != nil {
			return err
		}
		if p.readAddresses(text[offset:]) {
			return nil
		}
		if ended {
			return fmt.Errorf("box %s ended before it listened: %w: %s", p.Name, p.err, text[offset:])
		}
		time.Sleep(startPollInterval)
	}
}

// startLine matches the line that a box logs when it listens.
var startLine = regexp.MustCompile(`msg=box_started .*\n`)

// readAddresses stores the addresses from the box's log in p and reports whether the log has them.
func (p *Process) readAddresses(text string) bool {
	line := startLine.FindString(text)
	if line == "" {
		return false
	}
	field := func(name string) string {
		found := regexp.MustCompile(" " + name + `="([^"]*)"`).FindStringSubmatch(line)
		if found == nil {
			return ""
		}
		return found[1]
	}
	p.settings.CallerListen, p.settings.BoxListen, p.settings.OperatorListen = field("callers"), field("boxes"), field("operator")
	p.settings.Relay.Listen, p.settings.Relay.ReadyListen = field("relay"), field("ready")
	p.CallerAddr, p.OperatorAddr = p.settings.CallerListen, p.settings.OperatorListen
	p.RelayAddr, p.ReadyAddr = p.settings.Relay.Listen, p.settings.Relay.ReadyListen
	return true
}

// Log returns everything that the process has written since its first start.
func (p *Process) Log() (string, error) {
	data, err := os.ReadFile(p.logPath)
	return string(data), err
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Pause suspends the process until Resume.
func (p *Process) Pause() error {
	return p.cmd.Process.Signal(syscall.SIGSTOP)
}

// Resume continues a paused process.
func (p *Process) Resume() error {
	return p.cmd.Process.Signal(syscall.SIGCONT)
}

// Stop requests a planned stop and waits for the end of the process.
func (p *Process) Stop() error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-p.done
	return p.err
}

// Hangup makes the process reload its settings.
func (p *Process) Hangup() error {
	return p.cmd.Process.Signal(syscall.SIGHUP)
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }
