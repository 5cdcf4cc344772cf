// Package response writes returns as JSON.
package response

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"

	"cottonarch.example/cottonarch/base/failure"
)

// OutcomeHeader says outside whether the thing asked for took effect.
const OutcomeHeader = "X-Cottonarch-Fate"

// WriteJSON writes a value.
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

// WriteError writes a failure with its status, its fate and when to come back.
func WriteError(w http.ResponseWriter, fail *failure.Error) {
	if fail.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(fail.RetryAfter))))
	}
	w.Header().Set(OutcomeHeader, string(fail.Outcome))
	WriteJSON(w, fail.Status(), fail)
}

// WriteErrorFractional is Defect on a surface whose callers read fractions of a second in Retry-After and
// take a 503 for a promise. Invariant: a failure of fate no leaves with a 4xx or 503, any
// other never with 503.
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

// ReadBody reads a whole body of at most most bytes.
func ReadBody(r *http.Request, limit int64) ([]byte, *failure.Error) {
	if r.Body == nil {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, failure.New(failure.Oversize, "a body is at most %d bytes", limit)
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, failure.New(failure.Malformed, "the body broke off: %v", err)
	}
	if int64(len(data)) > limit {
		return nil, failure.New(failure.Oversize, "a body is at most %d bytes", limit)
	}
	return data, nil
}

// DecodeBody reads a JSON body strictly.
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
