package boot

import (
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/manifest/walk"
	"cottonarch.example/cottonarch/kernel/failure"
)

// Whatever stands in a boot file: it is refused as a bad boot, or its addresses can be
// listened at and its sizes are above nought.
func FuzzBoot(f *testing.F) {
	for _, seed := range []string{`{}`, `{"address":"127.0.0.1:1","caller":"127.0.0.1:2","district":"d","seeds":["127.0.0.1:3"]}`,
		`{"address":"127.0.0.1:1","district":"d","data":"/x","founders":["127.0.0.1:1"],"ringFileMiB":1024,"ringFiles":64,"historyS":0.5}`,
		`{"address":"[::1%eth0]:1","district":"d","data":"x","seeds":["[::1%eth0]:1"],"voters":9.5}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		tree, d := walk.Parse(raw)
		if d != nil {
			must.Eq(t, failure.Malformed, d.Kind)
			return
		}
		listens := func(a string) {
			ap, err := netip.ParseAddrPort(a)
			must.NoError(t, err)
			must.True(t, ap.Port() != 0 && !ap.Addr().IsUnspecified())
		}
		core, d := ReadCore(tree)
		if d == nil {
			listens(string(core.Addr))
			listens(string(core.Listen))
			must.True(t, core.Voters > 0 && core.RingFile > 0 && core.Rings > 2 && core.History > 0 && core.District != "" && core.Data != "")
		}
		side, d := ReadSidecar(tree)
		if d == nil {
			listens(string(side.Addr))
			listens(string(side.Caller))
			must.True(t, side.Senders > 0 && side.Queue > 0 && side.Hand > 0 && side.Stop >= 0 && side.Bulk >= 0 && side.Terms.Window > 0 && side.Node != "")
		}
	})
}
