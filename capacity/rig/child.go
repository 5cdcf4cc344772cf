// Package rig runs a mesh of real cores and hollow nodes as processes on loopback, to
// be measured.
package rig

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"sync"
	"time"

	"cottonarch.example/cottonarch/capacity/part"
	"cottonarch.example/cottonarch/kernel/failure"
)

// child is one process and the orders that are out. Invariant: each order gets exactly
// one answer, a made-up one when the process ends before.
type child struct {
	cmd  *exec.Cmd
	in   io.WriteCloser
	mu   sync.Mutex
	next int
	open map[int]chan part.Answer
	gone chan struct{}
}

func launch(self []string) (*child, error) {
	c := &child{cmd: exec.Command(self[0], self[1:]...), open: map[int]chan part.Answer{}, gone: make(chan struct{})}
	c.cmd.Stderr = os.Stderr
	var err error
	if c.in, err = c.cmd.StdinPipe(); err != nil {
		return nil, failure.Wrap(err, failure.Internal, "part")
	}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "part")
	}
	if err := c.cmd.Start(); err != nil {
		return nil, failure.Wrap(err, failure.Internal, "part")
	}
	go c.listen(out)
	return c, nil
}

func (c *child) listen(out io.Reader) {
	lines := bufio.NewReaderSize(out, 1<<16)
	for {
		raw, err := lines.ReadBytes('\n')
		if err != nil {
			break
		}
		var a part.Answer
		if json.Unmarshal(raw, &a) != nil {
			continue
		}
		c.mu.Lock()
		ch := c.open[a.ID]
		delete(c.open, a.ID)
		c.mu.Unlock()
		if ch != nil {
			ch <- a
		}
	}
	_ = c.cmd.Wait()
	close(c.gone)
}

// send gives an order; the answer comes on the channel.
func (c *child) send(o part.Order) <-chan part.Answer {
	ch := make(chan part.Answer, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	o.ID = c.next
	c.open[o.ID] = ch
	raw, err := json.Marshal(o)
	if err == nil {
		_, err = c.in.Write(append(raw, '\n'))
	}
	if err != nil {
		delete(c.open, o.ID)
		ch <- part.Answer{Fault: err.Error()}
	}
	return ch
}

// wait waits for an answer, at most limit.
func (c *child) wait(ch <-chan part.Answer, limit time.Duration) (part.Answer, error) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case a := <-ch:
		if a.Fault != "" {
			return a, failure.New(failure.Internal, "part: %s", a.Fault)
		}
		return a, nil
	case <-c.gone:
		return part.Answer{}, failure.New(failure.LostResponse, "a part ended by itself")
	case <-t.C:
		return part.Answer{}, failure.New(failure.Late, "a part did not answer in %v", limit)
	}
}

// end closes the part's input, on which it ends, and kills it if it does not.
func (c *child) end() {
	_ = c.in.Close()
	t := time.NewTimer(5 * time.Second)
	defer t.Stop()
	select {
	case <-c.gone:
	case <-t.C:
		_ = c.cmd.Process.Kill()
		<-c.gone
	}
}
