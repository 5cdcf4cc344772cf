// Package process starts, signals and queries the cottonarch processes of a test fleet.
package process

import (
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"cottonarch.example/cottonarch/base/failure"
)

const (
	// killTimeout is the maximum time that Kill waits for the process to end.
	killTimeout = 5 * time.Second
	// settingsFlag is the flag for the settings file. --boot is the oldest name of the flag, which
	// every release accepts: a fleet may start an older release.
	settingsFlag = "--boot"
)

// Process is a daemon with its settings file, log file and data folder. A Process that has ended can
// be started again.
type Process struct {
	Name       string
	Role       string // subcommand of the program: core or sidecar
	IP         string
	Addr       string // address that the mesh uses, on which a link proxy listens
	ListenAddr string // address that the process listens on
	ClientAddr string // address that a sidecar listens on for clients on its machine
	DataDir    string
	ExitCode   int // of the latest run that has ended

	settingsPath string
	logPath      string

	mu     sync.Mutex // guards the fields below and ExitCode
	binary string
	cmd    *exec.Cmd
	exited chan struct{} // closed when the latest run has ended; nil before the first start
}

// FreeAddr returns an address with a free port on an IP. Another process may take the port before
// the caller binds the port.
func FreeAddr(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", failure.Wrap(err, failure.Internal, "find a free port on "+ip)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// New returns a process whose files are in dir. New does not start the process.
func New(binary, dir, name, role, ip string) *Process {
	return &Process{
		Name:         name,
		Role:         role,
		IP:           ip,
		DataDir:      filepath.Join(dir, name+".data"),
		binary:       binary,
		settingsPath: filepath.Join(dir, name+".json"),
		logPath:      filepath.Join(dir, name+".log"),
	}
}

// SetBinary sets the path of the program that the next Start runs.
func (p *Process) SetBinary(binary string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.binary = binary
}

// WriteSettings writes the settings file, which the process reads at its next start. The settings
// are CoreSettings or SidecarSettings.
func (p *Process) WriteSettings(settings any) error {
	raw, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return failure.Wrap(err, failure.Internal, "encode the settings of "+p.Name)
	}
	return failure.Wrap(os.WriteFile(p.settingsPath, raw, 0o644), failure.Internal, "write the settings of "+p.Name)
}

// Start starts the process. The output of the process is appended to the log file.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "open the log file of "+p.Name)
	}
	cmd := exec.Command(p.binary, p.Role, settingsFlag, p.settingsPath)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	p.cmd = cmd
	if err := cmd.Start(); err != nil {
		_ = logFile.Close()
		return failure.Wrap(err, failure.Internal, "start "+p.Name)
	}
	exited := make(chan struct{})
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

func (p *Process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(sig)
	}
}

// exitedChannel returns a channel that is closed when the latest run has ended, or nil before the
// first start.
func (p *Process) exitedChannel() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// Wait waits for the process to end and reports whether the process ended within the timeout.
func (p *Process) Wait(timeout time.Duration) bool {
	exited := p.exitedChannel()
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

// Kill sends SIGKILL to the process and waits for the process to end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	p.Wait(killTimeout)
}

// Stop sends SIGTERM to the process, as the platform does for planned work, and reports whether the
// process ended within the timeout.
func (p *Process) Stop(timeout time.Duration) bool {
	p.signal(syscall.SIGTERM)
	return p.Wait(timeout)
}

// Suspend suspends the process (SIGSTOP) until Resume.
func (p *Process) Suspend() { p.signal(syscall.SIGSTOP) }

// Resume resumes a suspended process (SIGCONT).
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// PID returns the process ID of the latest run, or 0 before the first start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// RemoveData deletes the data folder.
func (p *Process) RemoveData() error { return os.RemoveAll(p.DataDir) }

// Running reports whether the process has been started and has not ended.
func (p *Process) Running() bool {
	exited := p.exitedChannel()
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
