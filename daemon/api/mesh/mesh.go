// Package mesh is the API of a core for sidecars and other cores: joins, renewals of leases, the
// feed of the registry and the configuration, and the messages between cores.
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

// The paths of the API. Sidecars serve CoresPath and ConfigPartPath too.
const (
	// MessagesPath takes the messages of other cores.
	MessagesPath = core.MessagesPath
	// CoresPath lists the cores.
	CoresPath = core.CoresPath
	// JoinPath grants a lease.
	JoinPath = "/cottonarch/v1/claim"
	// RenewPath renews one.
	RenewPath = "/cottonarch/v1/renew"
	// BudgetSharePath changes a sidecar's share of the retry budget.
	BudgetSharePath = "/cottonarch/v1/share"
	// WatchPath is polled for changes of the registry and the configuration.
	WatchPath = "/cottonarch/v1/news"
	// ConfigPartPath gives the configuration in parts.
	ConfigPartPath = "/cottonarch/v1/part"

	addressPath = "/address/{key:.+}"
)

const (
	// maxBodyBytes bounds messages and renewals, and maxRequestBytes the smaller requests.
	maxBodyBytes    = 32 << 20
	maxRequestBytes = 1 << 16
	// retryAfterSeconds is when a request may come again that this core can't answer now.
	retryAfterSeconds = 1
)

// handlers serves the API of one core. instanceID names this run of it.
type handlers struct {
	core       *core.Core
	instanceID string
}

// Paths is the API of a core. instanceID names its run: positions in its feed hold for that only.
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

// writeWithoutDate writes a response without the Date header, which would be a large part of it.
func writeWithoutDate(w http.ResponseWriter, v any) {
	w.Header()["Date"] = nil
	response.WriteJSON(w, http.StatusOK, v)
}

// runStep runs a step in the core's loop, where its state may be read and changed, and waits for
// its result.
func runStep[T any](c *core.Core, step func(now monotime.Time) (T, node.Effects)) (result T, fail *failure.Error) {
	done := make(chan T, 1)
	taken := c.RunStep(func(now monotime.Time) node.Effects {
		value, effects := step(now)
		done <- value
		return effects
	})
	if !taken {
		return result, failure.New(failure.Busy, "the core's step queue is full").WithRetryAfter(retryAfterSeconds)
	}
	select {
	case result = <-done:
		return result, nil
	case <-c.Done():
		return result, failure.New(failure.Stopping, "the core stops").WithRetryAfter(retryAfterSeconds)
	}
}
