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

// FateHeader says outside whether the thing asked for took effect.
const FateHeader = "X-Cottonarch-Fate"

// JSON writes a value.
func JSON(w http.ResponseWriter, code int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		Defect(w, failure.New(failure.Internal, "encode: %v", err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(code)
	_, _ = w.Write(data)
}

// Defect writes a failure with its status, its fate and when to come back.
func Defect(w http.ResponseWriter, d *failure.Error) {
	if d.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(d.RetryAfter))))
	}
	w.Header().Set(FateHeader, string(d.Outcome))
	JSON(w, d.Status(), d)
}

// Fine is Defect on a surface whose callers read fractions of a second in Retry-After and
// take a 503 for a promise. Invariant: a failure of fate no leaves with a 4xx or 503, any
// other never with 503.
func Fine(w http.ResponseWriter, d *failure.Error) {
	if d.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(d.RetryAfter, 'f', -1, 64))
	}
	w.Header().Set(FateHeader, string(d.Outcome))
	code := d.Status()
	switch {
	case d.Outcome == failure.NotExecuted && code >= http.StatusInternalServerError:
		code = http.StatusServiceUnavailable
	case d.Outcome != failure.NotExecuted && code == http.StatusServiceUnavailable:
		code = http.StatusBadGateway
	}
	JSON(w, code, d)
}

// Read reads a whole body of at most most bytes.
func Read(r *http.Request, most int64) ([]byte, *failure.Error) {
	if r.Body == nil {
		return nil, nil
	}
	if r.ContentLength > most {
		return nil, failure.New(failure.Oversize, "a body is at most %d bytes", most)
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, most+1))
	if err != nil {
		return nil, failure.New(failure.Malformed, "the body broke off: %v", err)
	}
	if int64(len(data)) > most {
		return nil, failure.New(failure.Oversize, "a body is at most %d bytes", most)
	}
	return data, nil
}

// Decode reads a JSON body strictly.
func Decode(r *http.Request, most int64, into any) *failure.Error {
	data, d := Read(r, most)
	if d != nil {
		return d
	}
	if err := json.Unmarshal(data, into); err != nil {
		return failure.New(failure.Malformed, "%v", err)
	}
	return nil
}
