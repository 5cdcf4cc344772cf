// Package reply writes returns as JSON.
package reply

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"

	"cottonarch.example/cottonarch/kernel/defect"
)

// FateHeader says outside whether the thing asked for took effect.
const FateHeader = "X-Cottonarch-Fate"

// JSON writes a value.
func JSON(w http.ResponseWriter, code int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		Defect(w, defect.New(defect.Internal, "encode: %v", err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(code)
	_, _ = w.Write(data)
}

// Defect writes a defect with its status, its fate and when to come back.
func Defect(w http.ResponseWriter, d *defect.Defect) {
	if d.Retry > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(d.Retry))))
	}
	w.Header().Set(FateHeader, string(d.Fate))
	JSON(w, d.Code(), d)
}

// Fine is Defect on a surface whose callers read fractions of a second in Retry-After and
// take a 503 for a promise. Invariant: a defect of fate no leaves with a 4xx or 503, any
// other never with 503.
func Fine(w http.ResponseWriter, d *defect.Defect) {
	if d.Retry > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(d.Retry, 'f', -1, 64))
	}
	w.Header().Set(FateHeader, string(d.Fate))
	code := d.Code()
	switch {
	case d.Fate == defect.FateNo && code >= http.StatusInternalServerError:
		code = http.StatusServiceUnavailable
	case d.Fate != defect.FateNo && code == http.StatusServiceUnavailable:
		code = http.StatusBadGateway
	}
	JSON(w, code, d)
}

// Read reads a whole body of at most most bytes.
func Read(r *http.Request, most int64) ([]byte, *defect.Defect) {
	if r.Body == nil {
		return nil, nil
	}
	if r.ContentLength > most {
		return nil, defect.New(defect.Oversize, "a body is at most %d bytes", most)
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, most+1))
	if err != nil {
		return nil, defect.New(defect.Malformed, "the body broke off: %v", err)
	}
	if int64(len(data)) > most {
		return nil, defect.New(defect.Oversize, "a body is at most %d bytes", most)
	}
	return data, nil
}

// Decode reads a JSON body strictly.
func Decode(r *http.Request, most int64, into any) *defect.Defect {
	data, d := Read(r, most)
	if d != nil {
		return d
	}
	if err := json.Unmarshal(data, into); err != nil {
		return defect.New(defect.Malformed, "%v", err)
	}
	return nil
}
