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

// OutcomeHeader tells a client whether its operation took effect: "no", "yes" or "unknown".
const OutcomeHeader = "X-Cottonarch-Fate"

// WriteJSON writes a value as the whole response.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		WriteError(w, failure.New(failure.Internal, "encode: %v", err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// WriteError writes a failure with its status, its outcome and, in whole seconds, its
// Retry-After.
func WriteError(w http.ResponseWriter, fail *failure.Error) {
	if fail.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(fail.RetryAfter))))
	}
	w.Header().Set(OutcomeHeader, string(fail.Outcome))
	WriteJSON(w, fail.Status(), fail)
}

// WriteErrorFractional is WriteError for clients that read fractions of a second in Retry-After
// and take a 503 as proof that the request was not executed. Invariant: a failure that was not
// executed has a 4xx or 503, any other never has 503.
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

// ReadBody reads a complete body of at most limit bytes.
func ReadBody(r *http.Request, limit int64) ([]byte, *failure.Error) {
	if r.Body == nil {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, failure.New(failure.Oversize, "a body is at most %d bytes", limit)
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, failure.New(failure.Malformed, "the body was interrupted: %v", err)
	}
	if int64(len(data)) > limit {
		return nil, failure.New(failure.Oversize, "a body is at most %d bytes", limit)
	}
	return data, nil
}

// DecodeBody reads a body of one JSON value of at most limit bytes into target.
func DecodeBody(r *http.Request, limit int64, target any) *failure.Error {
	data, fail := ReadBody(r, limit)
	if fail != nil {
		return fail
	}
	if err := json.Unmarshal(data, target); err != nil {
		return failure.New(failure.Malformed, "%v", err)
	}
	return nil
}
