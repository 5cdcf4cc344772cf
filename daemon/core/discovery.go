package core

import (
	"context"
	"net/http"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/core/node"
)

// CoresPath answers with KnownCores; cores and sidecars serve it.
const CoresPath = "/cottonarch/v1/cores"

const (
	// discoveryInterval is how often the seeds are asked, and discoveryTimeout bounds one answer.
	discoveryInterval = 500 * time.Millisecond
	discoveryTimeout  = 500 * time.Millisecond
)

// KnownCores is the response at CoresPath: the cores that a process knows.
type KnownCores struct {
	Cores []ident.Addr `json:"cores"`
	// FromCore says that the answer is a core's own, so all of Cores are cores; a sidecar may
	// list seeds that it has not met.
	FromCore bool `json:"core,omitempty"`
}

// discover asks the seeds, which may be cores or sidecars, for the cores that they know, while
// this core has no majority.
func (c *Core) discover() {
	ticker := time.NewTicker(discoveryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-c.done:
			return
		}
		if view := c.View(); view == nil || view.Majority {
			continue
		}
		for _, seed := range c.Settings.Seeds {
			if seed != c.Settings.Addr {
				c.askSeed(seed)
			}
		}
	}
}

func (c *Core) askSeed(seed ident.Addr) {
	ctx, cancel := context.WithTimeout(context.Background(), discoveryTimeout)
	defer cancel()
	var known KnownCores
	if c.pool.Call(ctx, seed, http.MethodGet, CoresPath, nil, &known) != nil {
		return // it is asked again at the next tick
	}
	c.RunStep(func(now monotime.Time) node.Effects {
		c.node.AddKnownCores(now, known.Cores)
		return node.Effects{}
	})
}
