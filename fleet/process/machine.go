// Package process runs one real process of a fleet.
package process

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Process is one process with its boot file, its log and its data folder.
type Process struct {
	Name, Role, IP                string
	Addr                          string // towards the mesh, a relay
	ListenAddr                    string // where the process listens
	ClientAddr                    string // sidecars only
	DataDir                       string
	binary, settingsFile, logFile string
	mu                            sync.Mutex
	cmd                           *exec.Cmd
	exited                        chan struct{}
	ExitCode                      int
}

// FreeAddr finds a free port of an IP.
func FreeAddr(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// New prepares a machine; boot is written as its boot file.
func New(binary, dir, name, role, ip string) *Process {
	return &Process{Name: name, Role: role, IP: ip, binary: binary, settingsFile: filepath.Join(dir, name+".json"), logFile: filepath.Join(dir, name+".log"), DataDir: filepath.Join(dir, name+".data")}
}

// SetBinary makes the next start that of another program.
func (p *Process) SetBinary(binary string) { p.mu.Lock(); defer p.mu.Unlock(); p.binary = binary }

// Write writes the boot file.
func (p *Process) Write(tree map[string]any) error {
	raw, err := json.MarshalIndent(tree, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(p.settingsFile, raw, 0o644)
}

// Start starts the process.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	logFile, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(p.binary, p.Role, "--boot", p.settingsFile)
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	if err := p.cmd.Start(); err != nil {
		_ = logFile.Close()
		return err
	}
	exited, cmd := make(chan struct{}), p.cmd
	p.exited = exited
	go func() {
		_ = cmd.Wait()
		_ = logFile.Close()
		p.mu.Lock()
		p.ExitCode = cmd.ProcessState.ExitCode()
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// Wait waits for the end of the process.
func (p *Process) Wait(timeout time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Kill ends the process at once.
func (p *Process) Kill() { p.signal(syscall.SIGKILL); p.Wait(5 * time.Second) }

// Stop is the platform's planned stop.
func (p *Process) Stop(timeout time.Duration) bool { p.signal(syscall.SIGTERM); return p.Wait(timeout) }

// Freeze and Thaw stop and go on.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

// PID is the process id of the newest run, 0 before the first.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// RemoveData takes the data folder away.
func (p *Process) RemoveData() error { return os.RemoveAll(p.DataDir) }

// Running tells whether the process runs.
func (p *Process) Running() bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return false
	}
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 2 * time.Second}}

// Request asks the process itself, past the relay, and decodes its JSON.
func (p *Process) Request(timeout time.Duration, method, path string, body io.Reader, result any) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.ListenAddr+path, body)
	if err != nil {
		return 0, err
	}
	response, err := httpClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, err
	}
	if result != nil {
		if err := json.Unmarshal(raw, result); err != nil {
			return response.StatusCode, fmt.Errorf("%s: %w", raw, err)
		}
	}
	return response.StatusCode, nil
}

// WaitReady waits until the process says it is ready.
func (p *Process) WaitReady(timeout time.Duration) bool { return p.pollUntilOK("/ready", timeout) }

// WaitLive waits until the process listens.
func (p *Process) WaitLive(timeout time.Duration) bool { return p.pollUntilOK("/live", timeout) }

func (p *Process) pollUntilOK(path string, timeout time.Duration) bool {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); <-ticker.C {
		if code, err := p.Request(300*time.Millisecond, "GET", path, nil, nil); err == nil && code == 200 {
			return true
		}
	}
	return false
}
