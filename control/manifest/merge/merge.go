// Package merge lays a partial manifest over a whole one.
package merge

// Merge gives base with part laid over it: objects are merged field by field, null
// takes a field away, anything else replaces. Neither input is changed.
func Merge(base, part map[string]any) map[string]any {
	out := make(map[string]any, len(base)+len(part))
	for k, v := range base {
		out[k] = v
	}
	for k, v := range part {
		if v == nil {
			delete(out, k)
			continue
		}
		sub, ok := v.(map[string]any)
		if !ok {
			out[k] = v
			continue
		}
		old, _ := out[k].(map[string]any)
		out[k] = Merge(old, sub)
	}
	return out
}
