package daemon

import (
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"cottonarch.example/cottonarch/settings"
)

// Each deprecated key in the settings file must produce a warning with the old and the new name.
func TestDeprecatedKeysAreLogged(t *testing.T) {
	logged, logs := observer.New(zap.InfoLevel)
	options := settings.Sidecar{Addr: "127.0.0.1:1", Listen: "127.0.0.1:1", ClientAddr: "127.0.0.1:2", Node: "n", Zone: "z", Senders: 1, QueueCapacity: 1,
		DeprecatedKeys: []settings.DeprecatedKey{{Old: "district", New: "zone"}, {Old: "caller", New: "clientAddress"}}}
	_, _, _ = Sidecar(options, zap.New(logged))
	warnings := logs.FilterMessage("deprecated settings key").All()
	must.Len(t, 2, warnings)
	must.Eq(t, map[string]any{"key": "district", "use": "zone"}, warnings[0].ContextMap())
	must.Eq(t, map[string]any{"key": "caller", "use": "clientAddress"}, warnings[1].ContextMap())
}
