// Package patch applies a change of named items to a whole manifest.
package patch

import (
	"maps"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/config/decode"
)

// Apply gives base with the items of "remove" taken away and those of "upsert" put in,
// whole and by name, under the change's own "release". A missing name to remove is no
// fault. With loose, fields beside these three are passed over. Neither input is
// changed; a failure is Invalid.
func Apply(base, part map[string]any, allowUnknown bool) (map[string]any, *failure.Error) {
	faults := &decode.Faults{AllowUnknown: allowUnknown}
	root := decode.Root(part, faults)
	root.RejectUnknown("release", "upsert", "remove")
	out := maps.Clone(base)
	if version, ok := part["release"]; ok {
		out["release"] = version
	}
	removals := root.Child("remove")
	for _, kind := range removals.FieldNames() {
		names := removals.Strings(kind)
		old, ok := out[kind].(map[string]any)
		if !ok {
			continue
		}
		remaining := maps.Clone(old)
		for _, name := range names {
			delete(remaining, name)
		}
		out[kind] = remaining
	}
	upserts := root.Child("upsert")
	for _, kind := range upserts.FieldNames() {
		items := upserts.Child(kind)
		old, _ := out[kind].(map[string]any)
		merged := make(map[string]any, len(old))
		maps.Copy(merged, old)
		maps.Copy(merged, items.Fields())
		out[kind] = merged
	}
	return out, faults.Err(failure.Invalid)
}
