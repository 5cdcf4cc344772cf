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

// readJSON returns the body, which must be a valid JSON value of any type.
func readJSON(r *http.Request) (json.RawMessage, *failure.Error) {
	body, err := response.ReadBody(r, maxBodyBytes)
	if err != nil {
		return nil, err
	}
	return body, validateJSON(body)
}

func validateJSON(body []byte) *failure.Error {
	if !json.Valid(body) {
		return failure.New(failure.Malformed, "the body is not valid JSON")
	}
	return nil
}

// parseQueryUint returns the value of an unsigned integer query parameter, or fallback if the
// parameter is absent.
func parseQueryUint(r *http.Request, name string, fallback uint64, bits int) (uint64, *failure.Error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	number, err := strconv.ParseUint(text, 10, bits)
	if err != nil {
		return 0, failure.New(failure.Malformed, "%s must be a whole number, not %q", name, text)
	}
	return number, nil
}

// requiredRevision returns the query parameter ifRevision, the current revision that a conditional
// write requires. requiredRevision returns nil for an unconditional write.
func requiredRevision(r *http.Request) (*ident.Revision, *failure.Error) {
	if r.URL.Query().Get("ifRevision") == "" {
		return nil, nil
	}
	number, err := parseQueryUint(r, "ifRevision", 0, 64)
	if err != nil {
		return nil, err
	}
	revision := ident.Revision(number)
	return &revision, nil
}

// parseWrite returns the body of a write, which is the new value, and the required revision.
func parseWrite(r *http.Request) (value json.RawMessage, required *ident.Revision, err *failure.Error) {
	if value, err = readJSON(r); err != nil {
		return nil, nil, err
	}
	required, err = requiredRevision(r)
	return value, required, err
}

// watchWait returns the maximum time that a watch waits for changes.
func watchWait(r *http.Request) (time.Duration, *failure.Error) {
	milliseconds, err := parseQueryUint(r, "waitMs", uint64(defaultWatchWait.Milliseconds()), 32)
	if err != nil {
		return 0, err
	}
	return min(time.Duration(milliseconds)*time.Millisecond, maxWatchWait), nil
}

// WatchQuery returns the query parameters of a watch of a keyspace: the revision after which changes
// are requested, and the maximum time to wait for a change.
func WatchQuery(r *http.Request) (after ident.Revision, wait time.Duration, err *failure.Error) {
	wait, err = watchWait(r)
	if err != nil {
		return 0, 0, err
	}
	number, err := parseQueryUint(r, "after", 0, 64)
	return ident.Revision(number), wait, err
}
