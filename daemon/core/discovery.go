package core

import (
	"context"
	"net/http"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/core/node"
)

// CoresPath is the path at which cores and sidecars return their KnownCores.
const CoresPath = "/cottonarch/v1/cores"

const (
	// discoveryInterval is the time between two queries of the seeds, and discoveryTimeout the
	// timeout of one query.
	discoveryInterval = 500 * time.Millisecond
	discoveryTimeout  = 500 * time.Millisecond
)

// KnownCores is the response to a request at CoresPath: the cores that a process knows.
type KnownCores struct {
	Cores []ident.Addr `json:"cores"`
	// FromCore reports that the response is from a core, so every address in Cores belongs to a
	// core. The response of a sidecar may contain seeds that the sidecar has not contacted yet.
	FromCore bool `json:"core,omitempty"`
}

// discover periodically queries the seeds, which may be cores or sidecars, for the cores that they
// know, while this core has no majority.
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
				c.querySeed(seed)
			}
		}
	}
}

func (c *Core) querySeed(seed ident.Addr) {
	ctx, cancel := context.WithTimeout(context.Background(), discoveryTimeout)
	defer cancel()
	var response KnownCores
	if c.peerClient.Call(ctx, seed, http.MethodGet, CoresPath, nil, &response) != nil {
		return // discover queries the seed again at the next tick
	}
	c.RunStep(func(now monotime.Time) node.Effects {
		c.node.AddKnownCores(now, response.Cores)
		return node.Effects{}
	})
}
