package core

import (
	"sync"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/core/message"
)

// changeSignals wakes those who wait for a change. A channel is closed at the change that it
// stands for, and a new one takes its place.
type changeSignals struct {
	mu       sync.Mutex
	anyKey   chan struct{}
	keys     map[ident.Key]chan struct{} // of the keys that somebody waits for
	registry chan struct{}
}

func newChangeSignals() changeSignals {
	return changeSignals{anyKey: make(chan struct{}), keys: map[ident.Key]chan struct{}{}, registry: make(chan struct{})}
}

// notifyKeys wakes those who wait for one of the keys or for any.
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

// notifyRegistry wakes those who wait for the registry.
func (s *changeSignals) notifyRegistry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.registry)
	s.registry = make(chan struct{})
}

// KeysChanged is closed when any key is learned to have changed.
func (c *Core) KeysChanged() <-chan struct{} {
	c.changes.mu.Lock()
	defer c.changes.mu.Unlock()
	return c.changes.anyKey
}

// KeyChanged is closed when that key is learned to have changed; call it before reading the
// key.
func (c *Core) KeyChanged(key ident.Key) <-chan struct{} {
	c.changes.mu.Lock()
	defer c.changes.mu.Unlock()
	if c.changes.keys[key] == nil {
		c.changes.keys[key] = make(chan struct{})
	}
	return c.changes.keys[key]
}

// RegistryChanged is closed at the next change of the registry or the configuration.
func (c *Core) RegistryChanged() <-chan struct{} {
	c.changes.mu.Lock()
	defer c.changes.mu.Unlock()
	return c.changes.registry
}
