// Package patch applies item patches to a configuration. An item patch adds, replaces and removes
// whole routes, services and other named items.
package patch

import (
	"maps"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/config/decode"
)

// Apply returns base without the items listed under "remove", and with the items under "upsert"
// added or replaced as a whole, by kind and name. The "release" of the patch replaces the "release"
// of base. Removing an item that does not exist is not a fault. Other fields of the patch are
// faults unless unknown fields are allowed. Neither input is changed. A failure is Invalid.
func Apply(base, itemPatch map[string]any, allowUnknown bool) (map[string]any, *failure.Error) {
	faults := &decode.Faults{AllowUnknown: allowUnknown}
	root := decode.Root(itemPatch, faults)
	root.RejectUnknown("release", "upsert", "remove")
	patched := maps.Clone(base)
	if version, ok := itemPatch["release"]; ok {
		patched["release"] = version
	}
	removeItems(patched, root.Child("remove"))
	upsertItems(patched, root.Child("upsert"))
	return patched, faults.Err(failure.Invalid)
}

// removeItems removes the items that removals lists by kind. Kinds that are not objects in the
// document are not changed.
func removeItems(document map[string]any, removals decode.Object) {
	for _, kind := range removals.FieldNames() {
		names := removals.Strings(kind)
		items, ok := document[kind].(map[string]any)
		if !ok {
			continue
		}
		remaining := maps.Clone(items)
		for _, name := range names {
			delete(remaining, name)
		}
		document[kind] = remaining
	}
}

// upsertItems adds or replaces the items that upserts holds by kind and name.
func upsertItems(document map[string]any, upserts decode.Object) {
	for _, kind := range upserts.FieldNames() {
		items := upserts.Child(kind)
		existing, _ := document[kind].(map[string]any)
		merged := make(map[string]any, len(existing))
		maps.Copy(merged, existing)
		maps.Copy(merged, items.Fields())
		document[kind] = merged
	}
}
