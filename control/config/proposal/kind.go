package proposal

import (
	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/config/merge"
	"cottonarch.example/cottonarch/control/config/patch"
)

// Kind determines how the body of a proposal is applied to the configuration in force.
type Kind string

// The kinds of proposal.
const (
	// FullConfig replaces the configuration.
	FullConfig Kind = ""
	// MergePatch changes the configuration field by field, see merge.Merge.
	MergePatch Kind = "part"
	// ItemPatch replaces and removes named items, see patch.Apply.
	ItemPatch Kind = "change"
)

// composer returns the whole document that results from applying the body of a proposal to a base.
type composer func(base, body map[string]any, allowUnknown bool) (map[string]any, *failure.Error)

var composers = map[Kind]composer{
	FullConfig: func(_, body map[string]any, _ bool) (map[string]any, *failure.Error) { return body, nil },
	MergePatch: func(base, body map[string]any, _ bool) (map[string]any, *failure.Error) {
		return merge.Merge(base, body), nil
	},
	ItemPatch: patch.Apply,
}
