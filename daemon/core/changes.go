package core

import (
	"sync"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/core/message"
)

// changeSignals notifies goroutines that wait for a change. Each channel is closed when its change
// occurs, and a new channel replaces the closed channel. The new channel of a single key is created
// by the next call of KeyChanged.
type changeSignals struct {
	mu       sync.Mutex
	anyKey   chan struct{}
	keys     map[ident.Key]chan struct{} // only for keys that KeyChanged was called for
	registry chan struct{}
}

func newChangeSignals() changeSignals {
	return changeSignals{anyKey: make(chan struct{}), keys: map[ident.Key]chan struct{}{}, registry: make(chan struct{})}
}

// notifyKeys wakes the goroutines that wait for a change of any key or of one of the learned keys.
func (s *changeSignals) notifyKeys(learned []message.Learned) {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.anyKey)
	s.anyKey = make(chan struct{})
	for _, change := range learned {
		if changed := s.keys[change.Key]; changed != nil {
			close(changed)
			delete(s.keys, change.Key)
		}
	}
}

// notifyRegistry wakes the goroutines that wait for a change of the registry.
func (s *changeSignals) notifyRegistry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.registry)
	s.registry = make(chan struct{})
}

// KeysChanged returns a channel that is closed when this core next learns of a change of any key.
func (c *Core) KeysChanged() <-chan struct{} {
	c.changes.mu.Lock()
	defer c.changes.mu.Unlock()
	return c.changes.anyKey
}

// KeyChanged returns a channel that is closed when this core next learns of a change of the key.
// Callers must call KeyChanged before they read the key, or a change between the read and the call is
// missed.
func (c *Core) KeyChanged(key ident.Key) <-chan struct{} {
	c.changes.mu.Lock()
	defer c.changes.mu.Unlock()
	if c.changes.keys[key] == nil {
		c.changes.keys[key] = make(chan struct{})
	}
	return c.changes.keys[key]
}

// RegistryChanged returns a channel that is closed at the next change of the registry or the
// configuration.
func (c *Core) RegistryChanged() <-chan struct{} {
	c.changes.mu.Lock()
	defer c.changes.mu.Unlock()
	return c.changes.registry
}
