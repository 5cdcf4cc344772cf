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
	stopTimeout    = 5 * time.Second // that a process may take to end once its input is closed
	readBufferSize = 1 << 16
)

// child is one process and the commands that it has not responded to yet. Invariant: each command
// gets exactly one response, or wait fails for it when the process ends first.
type child struct {
	cmd    *exec.Cmd
	exited chan struct{}

	mu      sync.Mutex // guards the fields below and writes to stdin
	stdin   io.WriteCloser
	lastID  int
	pending map[int]chan process.Response
}

// startChild starts a process.
func startChild(commandLine []string) (*child, error) {
	c := &child{
		cmd:     exec.Command(commandLine[0], commandLine[1:]...),
		exited:  make(chan struct{}),
		pending: map[int]chan process.Response{},
	}
	c.cmd.Stderr = os.Stderr
	var err error
	if c.stdin, err = c.cmd.StdinPipe(); err != nil {
		return nil, failure.Wrap(err, failure.Internal, "process")
	}
	stdout, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "process")
	}
	if err := c.cmd.Start(); err != nil {
		return nil, failure.Wrap(err, failure.Internal, "process")
	}
	go c.readResponses(stdout) // ends with the process, which stop awaits
	return c, nil
}

// readResponses hands each response to the command that it answers, until the process ends.
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

// takePending removes a command from those without a response and returns its channel; nil if the
// command is not among them.
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

// send sends a command. Its response comes on the channel, to be received by wait.
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

// wait waits for a response. It fails when that bears an error, when the process ends, and
// after the timeout.
func (c *child) wait(result <-chan process.Response, timeout time.Duration) (process.Response, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case response := <-result:
		if response.Error != "" {
			return response, failure.New(failure.Internal, "process: %s", response.Error)
		}
		return response, nil
	case <-c.exited:
		return process.Response{}, failure.New(failure.LostResponse, "the process ended before it responded")
	case <-timer.C:
		return process.Response{}, failure.New(failure.DeadlineExceeded, "the process did not respond within %v", timeout)
	}
}

// stop closes the process's input, on which it ends, and kills it if it does not.
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
