package cluster

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// KeyKind is the kind of a key of the control state.
type KeyKind string

// The kinds of key.
const (
	ValueKey    KeyKind = "value"
	SequenceKey KeyKind = "number"
	KeyspaceKey KeyKind = "cell"
	ConfigKey   KeyKind = "manifest"
	LockKey     KeyKind = "lock"
	AuditKey    KeyKind = "audit"
)

// objectFactories holds the constructor of each kind of object. The argument is the
// index of the key in Settings.Keys.
var objectFactories = map[KeyKind]func(int) object{
	ValueKey: newValue, SequenceKey: newSequence, KeyspaceKey: newKeyspace, ConfigKey: newConfig, LockKey: newLock, AuditKey: newAudit,
}

// object is a control key together with the results that the clients have received for the key. The
// names of the types that implement object are part of the hash of a state.
type object interface {
	key() ident.Key
	// operations returns the names of the operations that a client may send.
	operations(c *client) []string
	// prepare returns the kind and the arguments of an operation, and sets the operation's
	// LowerBound.
	prepare(op *clientOperation) (kind string, args json.RawMessage)
	// succeeded checks and records the outcome of an operation that certainly took effect, or that
	// failed with failure.Compacted.
	succeeded(c *Cluster, op *clientOperation, out proposer.Outcome)
	// rejected records that an operation certainly did not take effect.
	rejected(op *clientOperation)
	// checkMajorityRead checks the record that a majority read would find.
	checkMajorityRead(c *Cluster, found quorum.Record)
}
