package sidecar

import (
	"maps"
	"net/http"
	"strconv"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/wire/exchange"
	"cottonarch.example/cottonarch/wire/response"
)

// retryAfterSeconds is the Retry-After of a request that was rejected for lack of capacity.
const retryAfterSeconds = 0.1

// writeFailure writes a failure to a caller, in the format chosen in the settings.
func (s *Sidecar) writeFailure(w http.ResponseWriter, fail *failure.Error) {
	if s.Settings.Headers.FractionalRetryAfter {
		response.WriteErrorFractional(w, fail)
		return
	}
	response.WriteError(w, fail)
}

// writeResponse writes an endpoint's complete response without the mesh's own headers.
func writeResponse(w http.ResponseWriter, resp *exchange.Response) {
	headers := w.Header()
	length := resp.Header.Get("Content-Length")
	maps.Copy(headers, stripMeshHeaders(resp.Header))
	if resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified {
		if len(resp.Body) > 0 || length == "" {
			length = strconv.Itoa(len(resp.Body))
		}
		headers.Set("Content-Length", length)
	}
	suppressDefault(headers, "Date")
	suppressDefault(headers, "Content-Type")
	w.WriteHeader(resp.Status)
	if len(resp.Body) > 0 {
		_, _ = w.Write(resp.Body)
	}
}

// suppressDefault prevents net/http from adding a header that the endpoint did not set.
func suppressDefault(headers http.Header, name string) {
	if _, ok := headers[name]; !ok {
		headers[name] = nil
	}
}
