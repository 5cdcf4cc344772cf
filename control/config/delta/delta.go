// Package delta tells a configuration as its difference from an earlier one, so that a
// change costs what it changed and not the whole configuration at every node.
package delta

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"reflect"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/decode"
	"cottonarch.example/cottonarch/control/config/merge"
	"cottonarch.example/cottonarch/control/coordination/operation"
)

// Delta turns the configuration of one revision into that of a later one. Invariant: laid
// over the configuration of From, in which Patch replaces fields and null removes them, it
// gives one with the SHA-256 sum Digest; any other result is refused.
type Delta struct {
	From   ident.Epoch     `json:"from"`
	To     ident.Epoch     `json:"to"`
	Digest string          `json:"digest"`
	Patch  json.RawMessage `json:"patch"`
}

// Snapshot is one configuration with its revision, as parsed and as stored.
type Snapshot struct {
	Revision ident.Epoch
	Tree     map[string]any
	Raw      json.RawMessage
}

// Digest is the sum by which a whole configuration is known.
func Digest(raw json.RawMessage) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// Between makes the delta from one version to a later one. It answers false when there is
// none that is worth sending: a patch can't say it, or would be no smaller than the whole.
func Between(from, to Snapshot) (Delta, bool) {
	if from.Revision == 0 || from.Revision >= to.Revision {
		return Delta{}, false
	}
	patch := difference(from.Tree, to.Tree)
	if !reflect.DeepEqual(merge.Merge(from.Tree, patch), to.Tree) {
		return Delta{}, false
	}
	raw := operation.Encode(patch)
	if len(raw) >= len(to.Raw) {
		return Delta{}, false
	}
	return Delta{From: from.Revision, To: to.Revision, Digest: Digest(to.Raw), Patch: raw}, true
}

// difference gives the patch that merge lays over base to get want. Where a patch can't say
// the difference, laying it over gives something else, which Between looks for.
func difference(base, want map[string]any) map[string]any {
	patch := map[string]any{}
	for name := range base {
		if _, stays := want[name]; !stays {
			patch[name] = nil
		}
	}
	for name, value := range want {
		old, known := base[name]
		if known && reflect.DeepEqual(old, value) {
			continue
		}
		patch[name] = fieldPatch(old, value)
	}
	return patch
}

// fieldPatch gives the patch of one field: of two objects their difference, else the new value.
func fieldPatch(old, value any) any {
	oldObject, wasObject := old.(map[string]any)
	object, isObject := value.(map[string]any)
	if wasObject && isObject {
		return difference(oldObject, object)
	}
	return value
}

// Apply lays the delta over the stored form of the configuration of From. It gives the
// stored and the parsed form of the configuration of To.
func (d Delta) Apply(base json.RawMessage) (Snapshot, *failure.Error) {
	tree, err := decode.Parse(base)
	if err != nil {
		return Snapshot{}, err
	}
	patch, err := decode.Parse(d.Patch)
	if err != nil {
		return Snapshot{}, err
	}
	snapshot := Snapshot{Revision: d.To, Tree: merge.Merge(tree, patch)}
	snapshot.Raw = operation.Encode(snapshot.Tree)
	if Digest(snapshot.Raw) != d.Digest {
		return Snapshot{}, failure.New(failure.BadResponse, "the delta from revision %d to %d does not give what its digest says", d.From, d.To)
	}
	return snapshot, nil
}
