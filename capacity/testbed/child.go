package testbed

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"sync"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/capacity/process"
)

const (
	stopTimeout    = 5 * time.Second // for a process to exit after its input is closed
	readBufferSize = 1 << 16
)

// child is one process of the mesh and its pending commands. Invariant: each command receives
// exactly one response, or child.wait fails for the command if the process exits first.
type child struct {
	cmd    *exec.Cmd
	exited chan struct{}

	mu      sync.Mutex // guards the fields below mu and serializes writes to stdin
	stdin   io.WriteCloser
	lastID  int
	pending map[int]chan process.Response // by command ID
}

// startChild starts a process with a command line.
func startChild(commandLine []string) (*child, error) {
	c := &child{
		cmd:     exec.Command(commandLine[0], commandLine[1:]...),
		exited:  make(chan struct{}),
		pending: map[int]chan process.Response{},
	}
	c.cmd.Stderr = os.Stderr
	var err error
	if c.stdin, err = c.cmd.StdinPipe(); err != nil {
		return nil, failure.Wrap(err, failure.Internal, "open the standard input of a process")
	}
	stdout, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "open the standard output of a process")
	}
	if err := c.cmd.Start(); err != nil {
		return nil, failure.Wrap(err, failure.Internal, "start a process")
	}
	go c.readResponses(stdout) // returns when the process exits; child.stop waits for the exit
	return c, nil
}

// readResponses delivers each response to the command with the same ID until the process exits.
func (c *child) readResponses(stdout io.Reader) {
	reader := bufio.NewReaderSize(stdout, readBufferSize)
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			break
		}
		var response process.Response
		if json.Unmarshal(line, &response) != nil {
			continue
		}
		if result := c.takePending(response.ID); result != nil {
			result <- response
		}
	}
	_ = c.cmd.Wait()
	close(c.exited)
}

// takePending removes a command from the pending commands and returns the channel for its response.
// It returns nil if the command is not pending.
func (c *child) takePending(id int) chan process.Response {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := c.pending[id]
	delete(c.pending, id)
	return result
}

// call sends a command and waits for its response.
func (c *child) call(command process.Command, timeout time.Duration) (process.Response, error) {
	return c.wait(c.send(command), timeout)
}

// send sends a command. The returned channel receives the response; pass the channel to child.wait.
func (c *child) send(command process.Command) <-chan process.Response {
	result := make(chan process.Response, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	command.ID = c.lastID
	c.pending[command.ID] = result
	line, err := json.Marshal(command)
	if err == nil {
		_, err = c.stdin.Write(append(line, '\n'))
	}
	if err != nil {
		delete(c.pending, command.ID)
		result <- process.Response{Error: err.Error()}
	}
	return result
}

// wait waits for a response. It returns an error if the response holds an error, if the process exits
// first, or after the timeout.
func (c *child) wait(result <-chan process.Response, timeout time.Duration) (process.Response, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case response := <-result:
		if response.Error != "" {
			return response, failure.New(failure.Internal, "the command failed: %s", response.Error)
		}
		return response, nil
	case <-c.exited:
		return process.Response{}, failure.New(failure.LostResponse, "the process exited before it responded to the command")
	case <-timer.C:
		return process.Response{}, failure.New(failure.DeadlineExceeded, "the process did not respond to the command within %v", timeout)
	}
}

// stop closes the input of the process and kills the process if it does not exit within stopTimeout.
func (c *child) stop() {
	_ = c.stdin.Close()
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-c.exited:
	case <-timer.C:
		_ = c.cmd.Process.Kill()
		<-c.exited
	}
}
