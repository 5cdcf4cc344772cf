// Package machine runs one real process of a fleet.
package machine

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

// Machine is one process with its boot file, its log and its data folder.
type Machine struct {
	Name, Role, IP string
	Addr           string // towards the mesh, a relay
	Inner          string // where the process listens
	Caller         string // sidecars only
	Data           string
	bin, boot, log string
	mu             sync.Mutex
	cmd            *exec.Cmd
	gone           chan struct{}
	Exit           int
}

// Free finds a free port of an IP.
func Free(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// New prepares a machine; boot is written as its boot file.
func New(bin, dir, name, role, ip string) *Machine {
	return &Machine{Name: name, Role: role, IP: ip, bin: bin, boot: filepath.Join(dir, name+".json"), log: filepath.Join(dir, name+".log"), Data: filepath.Join(dir, name+".data")}
}

// Release makes the next start that of another program.
func (m *Machine) Release(bin string) { m.mu.Lock(); defer m.mu.Unlock(); m.bin = bin }

// Write writes the boot file.
func (m *Machine) Write(tree map[string]any) error {
	raw, err := json.MarshalIndent(tree, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(m.boot, raw, 0o644)
}

// Start starts the process.
func (m *Machine) Start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	m.cmd = exec.Command(m.bin, m.Role, "--boot", m.boot)
	m.cmd.Stdout, m.cmd.Stderr = f, f
	if err := m.cmd.Start(); err != nil {
		_ = f.Close()
		return err
	}
	gone, cmd := make(chan struct{}), m.cmd
	m.gone = gone
	go func() {
		_ = cmd.Wait()
		_ = f.Close()
		m.mu.Lock()
		m.Exit = cmd.ProcessState.ExitCode()
		m.mu.Unlock()
		close(gone)
	}()
	return nil
}

func (m *Machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil && m.cmd.Process != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// Wait waits for the end of the process.
func (m *Machine) Wait(limit time.Duration) bool {
	m.mu.Lock()
	gone := m.gone
	m.mu.Unlock()
	if gone == nil {
		return true
	}
	select {
	case <-gone:
		return true
	case <-time.After(limit):
		return false
	}
}

// Kill ends the process at once.
func (m *Machine) Kill() { m.signal(syscall.SIGKILL); m.Wait(5 * time.Second) }

// Stop is the platform's planned stop.
func (m *Machine) Stop(limit time.Duration) bool { m.signal(syscall.SIGTERM); return m.Wait(limit) }

// Freeze and Thaw stop and go on.
func (m *Machine) Freeze() { m.signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (m *Machine) Thaw() { m.signal(syscall.SIGCONT) }

// PID is the process id of the newest run, 0 before the first.
func (m *Machine) PID() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil || m.cmd.Process == nil {
		return 0
	}
	return m.cmd.Process.Pid
}

// Empty takes the data folder away.
func (m *Machine) Empty() error { return os.RemoveAll(m.Data) }

// Up tells whether the process runs.
func (m *Machine) Up() bool {
	m.mu.Lock()
	gone := m.gone
	m.mu.Unlock()
	if gone == nil {
		return false
	}
	select {
	case <-gone:
		return false
	default:
		return true
	}
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 2 * time.Second}}

// Ask asks the process itself, past the relay, and decodes its JSON.
func (m *Machine) Ask(limit time.Duration, method, path string, body io.Reader, into any) (int, error) {
	ctx, stop := context.WithTimeout(context.Background(), limit)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.Inner+path, body)
	if err != nil {
		return 0, err
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return res.StatusCode, err
	}
	if into != nil {
		if err := json.Unmarshal(raw, into); err != nil {
			return res.StatusCode, fmt.Errorf("%s: %w", raw, err)
		}
	}
	return res.StatusCode, nil
}

// Ready waits until the process says it is ready.
func (m *Machine) Ready(limit time.Duration) bool { return m.says("/ready", limit) }

// Live waits until the process listens.
func (m *Machine) Live(limit time.Duration) bool { return m.says("/live", limit) }

func (m *Machine) says(page string, limit time.Duration) bool {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for until := time.Now().Add(limit); time.Now().Before(until); <-t.C {
		if code, err := m.Ask(300*time.Millisecond, "GET", page, nil, nil); err == nil && code == 200 {
			return true
		}
	}
	return false
}
