package mesh

import (
	"encoding/json"
	"net/http"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/quota"
	"cottonarch.example/cottonarch/control/core/joinqueue"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/wire/response"
)

// budgetShareTimeout is the time budget of the operation that changes a share of the retry budget.
const budgetShareTimeout = 3 * time.Second

// JoinRequest requests a lease. A repeated request with the same AttemptID is the same join, even
// at another core.
type JoinRequest struct {
	Node      ident.Node `json:"node"`
	AttemptID string     `json:"run,omitempty"`
}

// validate returns an error if the request is invalid.
func (r JoinRequest) validate() *failure.Error {
	switch {
	case r.Node == "":
		return failure.New(failure.Invalid, "a join needs a node")
	case len(r.AttemptID) > quota.MaxRunIDBytes:
		return failure.New(failure.Invalid, "the attempt identifier of node %q is longer than %d bytes", r.Node, quota.MaxRunIDBytes)
	default:
		return nil
	}
}

// JoinResponse grants a lease.
type JoinResponse struct {
	LeaseEpoch     ident.LeaseEpoch      `json:"claim"`
	BudgetShare    quota.Share           `json:"share"`
	Cores          []record.CoreLocation `json:"cores"`
	CoresVersion   string                `json:"view"` // version of Cores
	ConfigRevision ident.ConfigRevision  `json:"manifest"`
}

// join grants a lease. Concurrent joins are handled as one batch. The lease epoch, the share of the
// retry budget and the newest configuration revision are read from a majority of disks.
func (h handlers) join(w http.ResponseWriter, r *http.Request) {
	var request JoinRequest
	fail := response.DecodeBody(r, maxRequestBytes, &request)
	if fail == nil {
		fail = request.validate()
	}
	if fail != nil {
		response.WriteError(w, fail)
		return
	}
	result := h.core.Join(r.Context(), joinqueue.Request{
		Node:       request.Node,
		Run:        request.AttemptID,
		RetryTotal: h.core.Settings.RetryLimit,
	})
	if result.Failure != nil {
		response.WriteError(w, result.Failure)
		return
	}
	var joined node.JoinResult
	if err := json.Unmarshal(result.Body, &joined); err != nil {
		response.WriteError(w, failure.New(failure.Corrupted, "cannot decode the result of the join of node %q: %v", request.Node, err))
		return
	}
	h.core.Metrics.Add("claims", 1)
	view := h.core.View()
	response.WriteJSON(w, http.StatusOK, JoinResponse{
		LeaseEpoch:     joined.LeaseEpoch,
		BudgetShare:    joined.Share,
		Cores:          view.CoreLocations,
		CoresVersion:   view.CoreLocationsDigest,
		ConfigRevision: joined.ConfigRevision,
	})
}

// budgetShare changes a sidecar's share of the retry budget.
func (h handlers) budgetShare(w http.ResponseWriter, r *http.Request) {
	var args quota.Args
	if fail := response.DecodeBody(r, maxRequestBytes, &args); fail != nil {
		response.WriteError(w, fail)
		return
	}
	op := proposer.Operation{Key: quota.Key, Kind: quota.TakeKind, Args: operation.Encode(args.CappedBy(h.core.Settings.RetryLimit))}
	result := h.core.Execute(r.Context(), op, budgetShareTimeout)
	if result.Failure != nil {
		response.WriteError(w, result.Failure)
		return
	}
	response.WriteJSON(w, http.StatusOK, json.RawMessage(result.Body))
}
