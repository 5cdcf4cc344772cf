package coordination

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/keyvalue"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorumread"
	"cottonarch.example/cottonarch/wire/response"
)

const (
	// keyPrefix is the prefix of the control keys that store the keys of applications: the
	// application's key "a" is stored under the control key "key/a".
	keyPrefix = "key/"
	// maxListedKeys is the maximum number of keys in a list and in a watch.
	maxListedKeys = 10000
)

// ListedKey is one key in a list of keys, with its revision and value.
type ListedKey struct {
	Key ident.Key `json:"key"`
	keyvalue.Response
}

// keyList is the response to a request for a list of keys.
type keyList struct {
	Keys []ListedKey `json:"keys"`
}

// putKey sets the value of a key to the body of the request.
func (h handlers) putKey(w http.ResponseWriter, r *http.Request) {
	value, required, err := parseWrite(r)
	if err != nil {
		response.WriteError(w, err)
		return
	}
	h.execute(w, r, keyvalue.WriteKind, keyvalue.Args{Value: value, IfRevision: required})
}

func (h handlers) deleteKey(w http.ResponseWriter, r *http.Request) {
	required, err := requiredRevision(r)
	if err != nil {
		response.WriteError(w, err)
		return
	}
	h.execute(w, r, keyvalue.DeleteKind, keyvalue.Args{IfRevision: required})
}

// listKeys responds with all keys that begin with a prefix, in ascending order, from a quorum read.
func (h handlers) listKeys(w http.ResponseWriter, r *http.Request) {
	result := h.core.QuorumRead(r.Context(), keyPrefix+r.URL.Query().Get("prefix"), true, requestTimeout)
	if result.Failure != nil {
		response.WriteError(w, result.Failure)
		return
	}
	listed := []ListedKey{}
	for controlKey, found := range result.Found {
		current, err := h.currentValue(r.Context(), controlKey, found)
		if err != nil {
			response.WriteError(w, err)
			return
		}
		if !current.Deleted {
			listed = append(listed, ListedKey{Key: controlKey[len(keyPrefix):], Response: current})
		}
	}
	if len(listed) > maxListedKeys {
		response.WriteError(w, tooManyKeys())
		return
	}
	slices.SortFunc(listed, func(a, b ListedKey) int { return strings.Compare(string(a.Key), string(b.Key)) })
	response.WriteJSON(w, http.StatusOK, keyList{listed})
}

// currentValue returns the value of a key from the result of a quorum read. If the voters that were
// read do not agree on the record, currentValue reads the key through its proposer.
func (h handlers) currentValue(ctx context.Context, controlKey ident.Key, found quorumread.Entry) (keyvalue.Response, *failure.Error) {
	if !found.Agreed {
		return h.readThroughProposer(ctx, controlKey, nil)
	}
	var current keyvalue.State
	if rawState := operation.State(found.Record.Value); len(rawState) > 0 {
		if err := json.Unmarshal(rawState, &current); err != nil {
			return keyvalue.Response{}, failure.New(failure.Corrupted, "cannot decode the state of key %q: %v", controlKey, err)
		}
	}
	latest := current.Latest()
	return keyvalue.Response{Revision: latest.Revision, Value: latest.Value, Deleted: latest.Deleted}, nil
}

// readThroughProposer reads a key through its proposer. If since is set, the response includes the
// changes after that revision.
func (h handlers) readThroughProposer(
	ctx context.Context, controlKey ident.Key, since *ident.Revision,
) (keyvalue.Response, *failure.Error) {
	args := operation.Encode(keyvalue.Args{Since: since})
	result := h.core.Execute(ctx, proposer.Operation{Key: controlKey, Kind: keyvalue.ReadKind, Args: args}, requestTimeout)
	if result.Failure != nil {
		return keyvalue.Response{}, result.Failure
	}
	var current keyvalue.Response
	if err := json.Unmarshal(result.Body, &current); err != nil {
		return keyvalue.Response{}, failure.New(failure.Corrupted, "cannot decode the result of the read of key %q: %v", controlKey, err)
	}
	return current, nil
}

func tooManyKeys() *failure.Error {
	return failure.New(failure.Oversize, "more than %d keys match the prefix: use a longer prefix", maxListedKeys)
}
