package sidecar

// activeRequests counts, by request id, the requests that this machine's endpoint is executing.
// Sidecar.mu guards the map.
//
// Calls made by the endpoint arrive on the listener for callers like the requests of clients. A
// call is recognized as nested if its id extends the id of a request being executed, as
// hierarchical ids do: the request's id, a separator, and at least one more character. The result
// is only a hint for the order in queues and for the retry budget: if an endpoint names its calls
// in another way, they are treated as requests of clients.
type activeRequests map[string]int

func (active activeRequests) begin(id string) {
	if id != "" {
		active[id]++
	}
}

func (active activeRequests) end(id string) {
	if active[id]--; active[id] <= 0 {
		delete(active, id)
	}
}

// containsParentOf reports whether one of the requests being executed made the call with the given
// id.
func (active activeRequests) containsParentOf(id string) bool {
	if len(active) == 0 {
		return false
	}
	for i := 1; i < len(id)-1; i++ {
		if isIDSeparator(id[i]) && active[id[:i]] > 0 {
			return true
		}
	}
	return false
}

// isIDSeparator reports whether a byte may separate the parts of a hierarchical id.
func isIDSeparator(c byte) bool {
	switch c {
	case '.', '-', '/', '|', ':', '_':
		return true
	}
	return false
}
