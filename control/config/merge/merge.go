// Package merge applies JSON merge patches (RFC 7396) to configurations.
package merge

// Merge returns base with the overlay applied: objects are merged field by field, null removes a
// field, and any other value replaces the field. Neither input is changed, but the result shares
// nested values with the inputs.
func Merge(base, overlay map[string]any) map[string]any {
	merged := make(map[string]any, len(base)+len(overlay))
	for name, value := range base {
		merged[name] = value
	}
	for name, value := range overlay {
		if value == nil {
			delete(merged, name)
			continue
		}
		object, ok := value.(map[string]any)
		if !ok {
			merged[name] = value
			continue
		}
		existing, _ := merged[name].(map[string]any)
		merged[name] = Merge(existing, object)
	}
	return merged
}
