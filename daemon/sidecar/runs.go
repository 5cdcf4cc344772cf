package sidecar

// activeRuns holds the ids of the requests that the endpoint of this machine is running, with how
// often each runs. Sidecar.mu guards it.
//
// Calls that the endpoint makes come in at the address for callers like the requests of clients. A
// call is known as nested if its id extends that of a run, as hierarchical ids do: the run's id, a
// separator, and more. This is a hint for the order in queues and for the retry budget only: an
// endpoint that names its calls otherwise has them treated as requests of clients.
type activeRuns map[string]int

func (runs activeRuns) begin(id string) {
	if id != "" {
		runs[id]++
	}
}

func (runs activeRuns) end(id string) {
	if runs[id]--; runs[id] <= 0 {
		delete(runs, id)
	}
}

// made reports whether one of the runs made a call, by the id of the call.
func (runs activeRuns) containsParentOf(id string) bool {
	if len(runs) == 0 {
		return false
	}
	for i := 1; i < len(id)-1; i++ {
		if isIDSeparator(id[i]) && runs[id[:i]] > 0 {
			return true
		}
	}
	return false
}

// isIDSeparator reports whether a byte may stand between the parts of a hierarchical id.
func isIDSeparator(c byte) bool {
	switch c {
	case '.', '-', '/', '|', ':', '_':
		return true
	}
	return false
}
