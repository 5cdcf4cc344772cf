package history

// Status is the status of a proposal according to a log.
type Status int

// The statuses of a proposal.
const (
	// Undecided means that the base of the proposal is the newest state, so the proposal has not
	// been accepted yet.
	Undecided Status = iota
	// Accepted means that the proposal made a change in the log.
	Accepted
	// NotAccepted means that the proposal was not accepted, and will not be accepted while its base
	// is not the newest state.
	NotAccepted
	// Unknown means that the base of the proposal is older than the log, so the proposal may have
	// been accepted.
	Unknown
)
