package history

// Status is what a log knows of a proposal.
type Status int

// The statuses of a proposal.
const (
	// Undecided means that the proposal builds on the newest state, so it was not accepted yet.
	Undecided Status = iota
	// Accepted means that the proposal made a change that the log remembers.
	Accepted
	// NotAccepted means that the proposal was not accepted, and will not be while its base is
	// not the newest state.
	NotAccepted
	// Forgotten means that the base of the proposal is older than the log, so that the
	// proposal may have been accepted.
	Forgotten
)
