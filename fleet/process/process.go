// Package process starts, signals and queries one real cottonarch process of a test fleet.
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
	// killTimeout is how long Kill waits until the process has ended.
	killTimeout = 5 * time.Second
	// settingsFlag names the settings file. It is the flag's oldest form, which every release
	// reads: a fleet may start an older one.
	settingsFlag = "--boot"
)

// Process is one daemon with its settings file, its log file and its data folder. It can be
// started again after it has ended.
type Process struct {
	Name       string
	Role       string // subcommand of the program: core or sidecar
	IP         string
	Addr       string // address that the mesh uses; a link proxy listens there
	ListenAddr string // address that the process itself listens on
	ClientAddr string // listener for the machine's own clients; sidecars only
	DataDir    string
	ExitCode   int // of the newest run that has ended

	settingsFile string
	logFile      string

	mu     sync.Mutex // guards the fields below and ExitCode
	binary string
	cmd    *exec.Cmd
	exited chan struct{} // closed when the newest run has ended; nil before the first
}

// FreeAddr finds an address with a free port on an IP. Another process may take the port
// before the caller binds it.
func FreeAddr(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", failure.Wrap(err, failure.Internal, "free port")
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// New prepares a process whose files lie in dir. It is not started.
func New(binary, dir, name, role, ip string) *Process {
	return &Process{
		Name:         name,
		Role:         role,
		IP:           ip,
		DataDir:      filepath.Join(dir, name+".data"),
		binary:       binary,
		settingsFile: filepath.Join(dir, name+".json"),
		logFile:      filepath.Join(dir, name+".log"),
	}
}

// SetBinary sets the program that the next Start runs.
func (p *Process) SetBinary(binary string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.binary = binary
}

// WriteSettings writes the settings file that the next Start reads. settings is a
// CoreSettings or a SidecarSettings.
func (p *Process) WriteSettings(settings any) error {
	raw, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return failure.Wrap(err, failure.Internal, "settings of "+p.Name)
	}
	return failure.Wrap(os.WriteFile(p.settingsFile, raw, 0o644), failure.Internal, "settings of "+p.Name)
}

// Start starts the process. Its output is appended to the log file.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	logFile, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "log of "+p.Name)
	}
	cmd := exec.Command(p.binary, p.Role, settingsFlag, p.settingsFile)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	p.cmd = cmd
	if err := cmd.Start(); err != nil {
		_ = logFile.Close()
		return failure.Wrap(err, failure.Internal, "start of "+p.Name)
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

func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// exit is closed when the newest run has ended; it is nil before the first.
func (p *Process) exit() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// Wait waits until the process has ended and tells whether it has within the timeout.
func (p *Process) Wait(timeout time.Duration) bool {
	exited := p.exit()
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

// Kill ends the process at once (SIGKILL) and waits until it has ended.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	p.Wait(killTimeout)
}

// Stop asks the process to end (SIGTERM), as the platform does for planned work, and tells
// whether it has within the timeout.
func (p *Process) Stop(timeout time.Duration) bool {
	p.signal(syscall.SIGTERM)
	return p.Wait(timeout)
}

// Suspend suspends the process (SIGSTOP) until Resume.
func (p *Process) Suspend() { p.signal(syscall.SIGSTOP) }

// Resume resumes a suspended process (SIGCONT).
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// PID is the process id of the newest run, 0 before the first.
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

// Running tells whether the process has been started and has not ended.
func (p *Process) Running() bool {
	exited := p.exit()
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
