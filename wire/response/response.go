// Package response reads request bodies and writes JSON responses.
package response

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"

	"cottonarch.example/cottonarch/base/failure"
)

// OutcomeHeader tells a client whether its operation was executed: "no", "yes" or "unknown".
const OutcomeHeader = "X-Cottonarch-Fate"

// WriteJSON writes a response with the given status and with value, encoded as JSON, as its body.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		WriteError(w, failure.New(failure.Internal, "encode response as JSON: %v", err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// WriteError writes fail as a JSON response with the status of fail, the outcome in OutcomeHeader
// and, if fail has a retry delay, Retry-After in whole seconds, rounded up.
func WriteError(w http.ResponseWriter, fail *failure.Error) {
	if fail.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(fail.RetryAfter))))
	}
	w.Header().Set(OutcomeHeader, string(fail.Outcome))
	WriteJSON(w, fail.Status(), fail)
}

// WriteErrorFractional is WriteError for clients that accept fractions of a second in Retry-After
// and take a 503 as proof that the request was not executed. Invariant: the response to a request
// that was not executed has a status of 4xx or 503, and no other failure has status 503.
func WriteErrorFractional(w http.ResponseWriter, fail *failure.Error) {
	if fail.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(fail.RetryAfter, 'f', -1, 64))
	}
	w.Header().Set(OutcomeHeader, string(fail.Outcome))
	status := fail.Status()
	switch {
	case fail.Outcome == failure.NotExecuted && status >= http.StatusInternalServerError:
		status = http.StatusServiceUnavailable
	case fail.Outcome != failure.NotExecuted && status == http.StatusServiceUnavailable:
		status = http.StatusBadGateway
	}
	WriteJSON(w, status, fail)
}

// ReadBody reads the whole body of a request. A body of more than limit bytes fails as Oversize.
func ReadBody(r *http.Request, limit int64) ([]byte, *failure.Error) {
	if r.Body == nil {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, failure.New(failure.Oversize, "the request body of %d bytes exceeds the limit of %d bytes", r.ContentLength, limit)
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, failure.New(failure.Malformed, "the request body can't be read: %v", err)
	}
	if int64(len(data)) > limit {
		return nil, failure.New(failure.Oversize, "the request body exceeds the limit of %d bytes", limit)
	}
	return data, nil
}

// DecodeBody decodes the body of a request, one JSON value of at most limit bytes, into target.
func DecodeBody(r *http.Request, limit int64, target any) *failure.Error {
	data, fail := ReadBody(r, limit)
	if fail != nil {
		return fail
	}
	if err := json.Unmarshal(data, target); err != nil {
		return failure.New(failure.Malformed, "the request body can't be decoded: %v", err)
	}
	return nil
}
