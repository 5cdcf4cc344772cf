// Package change applies a change of named items to a whole manifest.
package change

import (
	"maps"

	"cottonarch.example/cottonarch/control/manifest/walk"
	"cottonarch.example/cottonarch/kernel/failure"
)

// Apply gives base with the items of "remove" taken away and those of "upsert" put in,
// whole and by name, under the change's own "release". A missing name to remove is no
// fault. With loose, fields beside these three are passed over. Neither input is
// changed; a failure is Invalid.
func Apply(base, part map[string]any, loose bool) (map[string]any, *failure.Error) {
	f := &walk.Faults{Loose: loose}
	top := walk.Top(part, f)
	top.Only("release", "upsert", "remove")
	out := maps.Clone(base)
	if n, ok := part["release"]; ok {
		out["release"] = n
	}
	away := top.Down("remove")
	for _, kind := range away.Names() {
		names := away.Texts(kind)
		old, ok := out[kind].(map[string]any)
		if !ok {
			continue
		}
		left := maps.Clone(old)
		for _, name := range names {
			delete(left, name)
		}
		out[kind] = left
	}
	put := top.Down("upsert")
	for _, kind := range put.Names() {
		items := put.Down(kind)
		old, _ := out[kind].(map[string]any)
		next := make(map[string]any, len(old))
		maps.Copy(next, old)
		maps.Copy(next, items.All())
		out[kind] = next
	}
	return out, f.Defect(failure.Invalid)
}
