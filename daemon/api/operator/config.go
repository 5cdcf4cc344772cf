package operator

import (
	"encoding/json"
	"net/http"
	"strconv"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/decode"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/wire/response"
)

// maxBodyBytes is the maximum size of a body. The body of a configuration of the maximum size may
// contain up to 64 KiB of additional white space.
const maxBodyBytes = validation.MaxBytes + 64<<10

// proposeConfig proposes the body as the whole configuration.
func (h handlers) proposeConfig(w http.ResponseWriter, r *http.Request) { h.propose(w, r, false) }

// patchConfig proposes the body as a merge patch to the configuration.
func (h handlers) patchConfig(w http.ResponseWriter, r *http.Request) { h.propose(w, r, true) }

// propose proposes a configuration or a merge patch and responds with the new revision. The query
// parameter baseEpoch may name the revision on which the proposal is based. The header
// Idempotency-Key makes the request safe to repeat.
func (h handlers) propose(w http.ResponseWriter, r *http.Request, isPatch bool) {
	args, err := readProposal(r, isPatch)
	if err != nil {
		response.WriteError(w, err)
		return
	}
	result := h.core.Execute(r.Context(), proposer.Operation{
		Key:  proposal.Key,
		Kind: proposal.ProposeKind,
		Op:   ident.OperationID(args.OperationID),
		Args: operation.Encode(args),
	}, requestTimeout)
	if result.Failure != nil {
		h.core.Metrics.Add("manifests_turned_away", 1)
		response.WriteError(w, result.Failure)
		return
	}
	h.core.Metrics.Add("manifests_taken", 1)
	response.WriteJSON(w, http.StatusOK, json.RawMessage(result.Body))
}

// readProposal parses a proposal. A proposal that is invalid regardless of the current configuration
// is rejected here, without the cost of a consensus round.
func readProposal(r *http.Request, isPatch bool) (proposal.Args, *failure.Error) {
	body, err := response.ReadBody(r, maxBodyBytes)
	if err != nil {
		return proposal.Args{}, err
	}
	base, err := baseRevision(r)
	if err != nil {
		return proposal.Args{}, err
	}
	document, err := decode.Parse(body)
	if err == nil && !isPatch {
		_, err = validation.Strict(document)
	}
	if err != nil {
		return proposal.Args{}, err
	}
	return proposal.Args{
		Partial:      isPatch,
		BaseRevision: base,
		OperationID:  r.Header.Get("Idempotency-Key"),
		Body:         operation.Encode(document),
	}, nil
}

// baseRevision returns the revision on which a proposal is based, or nil if the request names none.
func baseRevision(r *http.Request) (*ident.ConfigRevision, *failure.Error) {
	text := r.URL.Query().Get("baseEpoch")
	if text == "" {
		return nil, nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, failure.New(failure.Malformed, "baseEpoch must be a whole number, not %q", text)
	}
	revision := ident.ConfigRevision(number)
	return &revision, nil
}

// readConfig responds with the current configuration, read through its proposer.
func (h handlers) readConfig(w http.ResponseWriter, r *http.Request) {
	config, err := h.core.NewestConfig(r.Context(), requestTimeout)
	if err != nil {
		response.WriteError(w, err)
		return
	}
	if config.Revision == 0 {
		response.WriteError(w, failure.New(failure.NotFound, "no configuration has been confirmed yet"))
		return
	}
	response.WriteJSON(w, http.StatusOK, config.State)
}
