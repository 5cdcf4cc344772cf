package coordination

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/wire/response"
)

const (
	defaultWatchWait = 20 * time.Second
	maxWatchWait     = 60 * time.Second
)

// readJSON returns the body, which must be JSON of any type.
func readJSON(r *http.Request) (json.RawMessage, *failure.Error) {
	body, err := response.ReadBody(r, maxBodyBytes)
	if err != nil {
		return nil, err
	}
	return body, checkJSON(body)
}

func checkJSON(body []byte) *failure.Error {
	if !json.Valid(body) {
		return failure.New(failure.Malformed, "the body is no JSON")
	}
	return nil
}

// queryNumber returns a whole number of the query, the fallback if it is absent.
func queryNumber(r *http.Request, name string, fallback uint64, bits int) (uint64, *failure.Error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	number, err := strconv.ParseUint(text, 10, bits)
	if err != nil {
		return 0, failure.New(failure.Malformed, "%s is no whole number", name)
	}
	return number, nil
}

// ifRevision returns the revision that a write requires, nil if it requires none.
func ifRevision(r *http.Request) (*ident.Revision, *failure.Error) {
	if r.URL.Query().Get("ifRevision") == "" {
		return nil, nil
	}
	number, err := queryNumber(r, "ifRevision", 0, 64)
	if err != nil {
		return nil, err
	}
	revision := ident.Revision(number)
	return &revision, nil
}

// readWrite returns the value that a write sets, the body, and the revision that it requires.
func readWrite(r *http.Request) (value json.RawMessage, required *ident.Revision, err *failure.Error) {
	if value, err = readJSON(r); err != nil {
		return nil, nil, err
	}
	required, err = ifRevision(r)
	return value, required, err
}

// watchWait returns how long a watch may wait for changes.
func watchWait(r *http.Request) (time.Duration, *failure.Error) {
	milliseconds, err := queryNumber(r, "waitMs", uint64(defaultWatchWait.Milliseconds()), 32)
	if err != nil {
		return 0, err
	}
	return min(time.Duration(milliseconds)*time.Millisecond, maxWatchWait), nil
}

// WatchQuery returns the query of a watch of a keyspace: the revision after which changes are
// requested, and how long to wait for them.
func WatchQuery(r *http.Request) (after ident.Revision, wait time.Duration, err *failure.Error) {
	wait, err = watchWait(r)
	if err != nil {
		return 0, 0, err
	}
	number, err := queryNumber(r, "after", 0, 64)
	return ident.Revision(number), wait, err
}
