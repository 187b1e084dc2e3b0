// Copyright 2026 The Runridge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

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
	"runridge.example/runridge/protocol/platformapi"
)

// Process is a box that runs as a process of its own, so that it can be
// killed and paused.
type Process struct {
	Name       string
	CallerAddr string
	// OperatorAddr is where the box tells its status.
	OperatorAddr string
	settings     setting.Box
	logPath      string
	cmd          *exec.Cmd
	done         chan struct{}
	err          error
}

const (
	settingsMode = 0o600
	// processWindow is short, so that tests need not wait for a full one.
	processWindow = 3
)

// AddProcess starts the router program as a box. Its log goes to a file in dir.
func (f *Fleet) AddProcess(program, dir, name, zone string) (*Process, error) {
	const anyPort = "127.0.0.1:0"
	return f.startProcess(program, dir, setting.Box{
		Name: name, Zone: zone, Platform: f.Platform.Addr(), RepeatWindowSeconds: processWindow,
		CallerListen: anyPort, BoxListen: anyPort, OperatorListen: anyPort,
	})
}

// Restart starts a process again after its end, at its old addresses.
func (f *Fleet) Restart(program, dir string, p *Process) (*Process, error) {
	return f.startProcess(program, dir, p.settings)
}

func (f *Fleet) startProcess(program, dir string, settings setting.Box) (*Process, error) {
	name := settings.Name
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, data, settingsMode); err != nil {
		return nil, err
	}
	p := &Process{Name: name, settings: settings, logPath: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, settingsMode)
	if err != nil {
		return nil, err
	}
	begin, err := logFile.Seek(0, io.SeekEnd)
	if err != nil {
		return nil, errors.Join(err, logFile.Close())
	}
	p.cmd = exec.Command(program, "serve", "--settings", path)
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
		return nil, err
	}
	f.Platform.SetBox(platformapi.Box{Name: name, Address: p.settings.BoxListen, Zone: settings.Zone})
	return p, nil
}

// startLook is how often the log of a process that starts is looked at.
const startLook = 2 * time.Millisecond

// awaitStart reads from the process's log, from an offset on, at which addresses
// it listens. A process that ends before gives an error with its log.
func (p *Process) awaitStart(offset int64) error {
	for {
		// The end is looked at first, so that the log is whole if it has come.
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
			return fmt.Errorf("box %s ended at its start: %w: %s", p.Name, p.err, text[offset:])
		}
		time.Sleep(startLook)
	}
}

// startLine is what a box writes when it listens.
var startLine = regexp.MustCompile(`msg=box_started .*\n`)

// readAddresses takes the addresses from the box's log; false if it does not
// have them yet.
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
	p.CallerAddr, p.OperatorAddr = p.settings.CallerListen, p.settings.OperatorListen
	return true
}

// Log is what the process has written, from its first start on.
func (p *Process) Log() (string, error) {
	data, err := os.ReadFile(p.logPath)
	return string(data), err
}

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Pause stops the process where it is; Resume lets it go on.
func (p *Process) Pause() error {
	return p.cmd.Process.Signal(syscall.SIGSTOP)
}

// Resume lets a paused process go on.
func (p *Process) Resume() error {
	return p.cmd.Process.Signal(syscall.SIGCONT)
}

// Stop asks for a planned stop and waits for its end.
func (p *Process) Stop() error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-p.done
	return p.err
}
