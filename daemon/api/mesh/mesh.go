// Package mesh implements the API of a core for sidecars and other cores: joins, lease renewals, the
// feed of registry and configuration changes, and the messages between cores.
package mesh

import (
	"net/http"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/wire/response"
	"cottonarch.example/cottonarch/wire/server"
)

// Paths of the API. Sidecars also serve CoresPath and ConfigPartPath.
const (
	// MessagesPath receives the messages of other cores.
	MessagesPath = core.MessagesPath
	// CoresPath lists the cores.
	CoresPath = core.CoresPath
	// JoinPath grants a lease.
	JoinPath = "/cottonarch/v1/claim"
	// RenewPath renews a lease.
	RenewPath = "/cottonarch/v1/renew"
	// BudgetSharePath changes a sidecar's share of the retry budget.
	BudgetSharePath = "/cottonarch/v1/share"
	// WatchPath is long-polled for changes of the registry and the configuration.
	WatchPath = "/cottonarch/v1/news"
	// ConfigPartPath returns the configuration in parts.
	ConfigPartPath = "/cottonarch/v1/part"

	addressPath = "/address/{key:.+}"
)

const (
	// maxBodyBytes is the maximum size of the body of a message batch or a renewal, and
	// maxRequestBytes that of the other requests.
	maxBodyBytes    = 32 << 20
	maxRequestBytes = 1 << 16
	// retryAfterSeconds is the Retry-After of a request that this core cannot answer yet.
	retryAfterSeconds = 1
)

// handlers serves the API of one core. instanceID identifies the run of the core.
type handlers struct {
	core       *core.Core
	instanceID string
}

// Paths returns the handlers of the API. instanceID identifies the run of the core: a position in
// the feed is valid only for the same run.
func Paths(c *core.Core, instanceID string) server.Paths {
	h := handlers{core: c, instanceID: instanceID}
	return server.Paths{
		MessagesPath:    {http.MethodPost: h.messages},
		CoresPath:       {http.MethodGet: h.cores},
		JoinPath:        {http.MethodPost: h.join},
		RenewPath:       {http.MethodPost: h.renew},
		BudgetSharePath: {http.MethodPost: h.budgetShare},
		WatchPath:       {http.MethodGet: h.watch},
		ConfigPartPath:  {http.MethodGet: h.configPart},
		addressPath:     {http.MethodGet: h.lookup},
	}
}

func (h handlers) messages(w http.ResponseWriter, r *http.Request) {
	var batch core.Batch
	if fail := response.DecodeBody(r, maxBodyBytes, &batch); fail != nil {
		response.WriteError(w, fail)
		return
	}
	writeWithoutDate(w, h.core.Receive(r.Context(), batch))
}

func (h handlers) cores(w http.ResponseWriter, _ *http.Request) {
	response.WriteJSON(w, http.StatusOK, core.KnownCores{Cores: h.core.View().Cores, FromCore: true})
}

// writeWithoutDate writes a response without the Date header, which would make up a large part of a
// short response.
func writeWithoutDate(w http.ResponseWriter, v any) {
	w.Header()["Date"] = nil
	response.WriteJSON(w, http.StatusOK, v)
}

// runStep runs a step in the core's loop, where the core's state may be read and changed, and waits
// for the result of the step.
func runStep[T any](c *core.Core, step func(now monotime.Time) (T, node.Effects)) (result T, fail *failure.Error) {
	done := make(chan T, 1)
	queued := c.RunStep(func(now monotime.Time) node.Effects {
		value, effects := step(now)
		done <- value
		return effects
	})
	if !queued {
		return result, failure.New(failure.Busy, "the core's step queue is full").WithRetryAfter(retryAfterSeconds)
	}
	select {
	case result = <-done:
		return result, nil
	case <-c.Done():
		return result, failure.New(failure.Stopping, "the core is stopping").WithRetryAfter(retryAfterSeconds)
	}
}
