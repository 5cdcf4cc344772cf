package settings

import (
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/config/decode"
)

// Any content of a settings file is either rejected, or gives addresses that a process can listen at
// and positive sizes.
func FuzzSettings(f *testing.F) {
	for _, seed := range []string{`{}`, `{"address":"127.0.0.1:1","caller":"127.0.0.1:2","district":"d","seeds":["127.0.0.1:3"]}`,
		`{"address":"127.0.0.1:1","district":"d","data":"/x","founders":["127.0.0.1:1"],"ringFileMiB":1024,"ringFiles":64,"historyS":0.5}`,
		`{"address":"[::1%eth0]:1","district":"d","data":"x","seeds":["[::1%eth0]:1"],"voters":9.5}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		values, fail := decode.Parse(raw)
		if fail != nil {
			must.Eq(t, failure.Malformed, fail.Kind)
			return
		}
		mustBeListenable := func(addr string) {
			addrPort, err := netip.ParseAddrPort(addr)
			must.NoError(t, err)
			must.True(t, addrPort.Port() != 0 && !addrPort.Addr().IsUnspecified())
		}
		core, fail := ReadCore(values)
		if fail == nil {
			mustBeListenable(string(core.Addr))
			mustBeListenable(string(core.Listen))
			must.True(t, core.Voters > 0 && core.RingFileBytes > 0 && core.RingFiles > 2 && core.WatchHistory > 0 && core.Zone != "" && core.Data != "")
		}
		sidecar, fail := ReadSidecar(values)
		if fail == nil {
			mustBeListenable(string(sidecar.Addr))
			mustBeListenable(string(sidecar.ClientAddr))
			must.True(t, sidecar.Senders > 0 && sidecar.QueueCapacity > 0 && sidecar.MaxInFlight > 0 && sidecar.StopTimeout >= 0 && sidecar.MaxBodyBytes >= 0 && sidecar.RetryBudget.Window > 0 && sidecar.Node != "")
		}
	})
}
