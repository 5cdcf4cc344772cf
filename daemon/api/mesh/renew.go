package mesh

import (
	"net/http"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/wire/response"
)

// renewalResult is the result of the core's step for a renewal.
type renewalResult struct {
	response record.RenewalResponse
	failure  *failure.Error
}

// renew renews a sidecar's lease. The list of the cores is sent only if the sidecar has a different
// version of the list.
func (h handlers) renew(w http.ResponseWriter, r *http.Request) {
	var request record.Renewal
	if fail := response.DecodeBody(r, maxBodyBytes, &request); fail != nil {
		response.WriteError(w, fail)
		return
	}
	if request.Node == "" {
		response.WriteError(w, failure.New(failure.Invalid, "a renewal needs a node"))
		return
	}
	result, fail := runStep(h.core, func(now monotime.Time) (renewalResult, node.Effects) {
		renewed, effects, fail := h.core.Node().Renew(now, request)
		return renewalResult{renewed, fail}, effects
	})
	if fail == nil {
		fail = result.failure
	}
	if fail != nil {
		response.WriteError(w, fail)
		return
	}
	renewed, view := result.response, h.core.View()
	renewed.CoresVersion = view.CoreLocationsDigest
	if request.CoresVersion != view.CoreLocationsDigest {
		renewed.Cores = view.CoreLocations
	}
	if config := h.core.Config(); config != nil {
		renewed.ConfigRevision = config.Revision
	}
	writeWithoutDate(w, renewed)
}
