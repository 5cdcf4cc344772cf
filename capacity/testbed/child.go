// Package testbed runs a mesh of real cores and hollow nodes as processes on loopback, to
// be measured.
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

// child is one process and the orders that are out. Invariant: each order gets exactly
// one answer, a made-up one when the process ends before.
type child struct {
	cmd     *exec.Cmd
	stdin   io.WriteCloser
	mu      sync.Mutex
	lastID  int
	pending map[int]chan process.Response
	exited  chan struct{}
}

func startChild(commandLine []string) (*child, error) {
	c := &child{cmd: exec.Command(commandLine[0], commandLine[1:]...), pending: map[int]chan process.Response{}, exited: make(chan struct{})}
	c.cmd.Stderr = os.Stderr
	var err error
	if c.stdin, err = c.cmd.StdinPipe(); err != nil {
		return nil, failure.Wrap(err, failure.Internal, "part")
	}
	stdout, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "part")
	}
	if err := c.cmd.Start(); err != nil {
		return nil, failure.Wrap(err, failure.Internal, "part")
	}
	go c.readResponses(stdout)
	return c, nil
}

func (c *child) readResponses(stdout io.Reader) {
	reader := bufio.NewReaderSize(stdout, 1<<16)
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			break
		}
		var response process.Response
		if json.Unmarshal(line, &response) != nil {
			continue
		}
		c.mu.Lock()
		result := c.pending[response.ID]
		delete(c.pending, response.ID)
		c.mu.Unlock()
		if result != nil {
			result <- response
		}
	}
	_ = c.cmd.Wait()
	close(c.exited)
}

// send gives an order; the answer comes on the channel.
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

// wait waits for an answer, at most limit.
func (c *child) wait(result <-chan process.Response, timeout time.Duration) (process.Response, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case response := <-result:
		if response.Error != "" {
			return response, failure.New(failure.Internal, "part: %s", response.Error)
		}
		return response, nil
	case <-c.exited:
		return process.Response{}, failure.New(failure.LostResponse, "a part ended by itself")
	case <-timer.C:
		return process.Response{}, failure.New(failure.DeadlineExceeded, "a part did not answer in %v", timeout)
	}
}

// stop closes the part's input, on which it ends, and kills it if it does not.
func (c *child) stop() {
	_ = c.stdin.Close()
	timer := time.NewTimer(5 * time.Second)
	defer timer.Stop()
	select {
	case <-c.exited:
	case <-timer.C:
		_ = c.cmd.Process.Kill()
		<-c.exited
	}
}
