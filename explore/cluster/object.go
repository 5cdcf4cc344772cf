package cluster

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// KeyKind is the kind of a control key.
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

// objectFactories make the object of each kind, for the key with an index.
var objectFactories = map[KeyKind]func(int) object{
	ValueKey: newValue, SequenceKey: newSequence, KeyspaceKey: newKeyspace, ConfigKey: newConfig, LockKey: newLock, AuditKey: newAudit,
}

// object is a control key with what its clients have learned of it.
type object interface {
	key() ident.Key
	// operations lists what a client may ask for.
	operations(c *client) []string
	// prepare returns the kind and the arguments of an operation, and notes in it what its client
	// may count on.
	prepare(op *clientOperation) (kind string, args json.RawMessage)
	// succeeded checks the response to an operation that certainly took effect.
	succeeded(c *Cluster, op *clientOperation, out proposer.Outcome)
	// rejected notes that an operation certainly did not take effect.
	rejected(op *clientOperation)
	// inspect checks what a majority read would find.
	inspect(c *Cluster, found quorum.Record)
}
