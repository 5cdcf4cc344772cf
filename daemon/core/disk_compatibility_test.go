package core_test

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/settings"
	"cottonarch.example/cottonarch/storage/ring"
)

// earlierDisk is the data folder of a core built from commit 3e0ca6c. The core had the address
// earlierAddr and was the only founder. Two configurations, a lock, a sequence, keys and the entries
// of a keyspace were written through the command line and the HTTP API.
const (
	earlierDisk = "testdata/disk-3e0ca6c"
	earlierAddr = ident.Addr("127.0.0.1:39471")
)

// earlierConfig is the second configuration of earlierDisk, a revision of the first.
const earlierConfig = `{
	"services": {
		"accounts.prairie": {"namespace": "prairie", "drainS": 2, "reuseAfterS": 2, "allowance": {"part": 0.2}},
		"payments.prairie": {"namespace": "prairie", "drainS": 2, "reuseAfterS": 2}
	},
	"ways": {
		"accounts": {"host": "accounts.bank", "pathStart": "/", "service": "accounts.prairie", "timeoutMs": 3000},
		"payments": {"host": "payments.bank", "pathStart": "/", "service": "payments.prairie", "timeoutMs": 5000}
	}
}`

// unpackDisk decompresses the files of a data folder into a new folder and returns its path.
func unpackDisk(t *testing.T, packed string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(packed, "ring-*.gz"))
	must.NoError(t, err)
	must.Len(t, 4, files)
	data := t.TempDir()
	for _, file := range files {
		in, err := os.Open(file)
		must.NoError(t, err)
		unzipped, err := gzip.NewReader(in)
		must.NoError(t, err)
		out, err := os.Create(filepath.Join(data, strings.TrimSuffix(filepath.Base(file), ".gz")))
		must.NoError(t, err)
		_, err = io.Copy(out, unzipped)
		must.NoError(t, err)
		must.NoError(t, out.Close())
		must.NoError(t, in.Close())
	}
	return data
}

// openEarlierDisk starts a core on a copy of earlierDisk and waits until the core is ready.
func openEarlierDisk(t *testing.T) *core.Core {
	t.Helper()
	folder, err := ring.OpenDiskFolder(unpackDisk(t, earlierDisk))
	must.NoError(t, err)
	c, err := core.Open(settings.Core{Addr: earlierAddr, Listen: earlierAddr, Zone: "a", Founders: []ident.Addr{earlierAddr}, Voters: 5,
		RingFileBytes: 12 << 20, RingFiles: 4, RetryLimit: 60, WatchHistory: time.Minute}, zap.NewNop(), folder)
	must.NoError(t, err)
	c.Start()
	t.Cleanup(c.Close)
	for deadline := time.Now().Add(10 * time.Second); !c.Ready(); time.Sleep(10 * time.Millisecond) {
		must.True(t, time.Now().Before(deadline), must.Sprint("the core is not ready"))
	}
	return c
}

// Guards against a change of the stored format that loses data on upgrade. A core must recover from
// a data folder written by an earlier release the configuration, locks, sequences, keys and entries,
// each at its revision, and later operations must continue from there.
func TestDiskOfAnEarlierReleaseIsRead(t *testing.T) {
	c := openEarlierDisk(t)
	ctx := context.Background()
	config, fail := c.NewestConfig(ctx, 5*time.Second)
	must.Nil(t, fail)
	must.Eq(t, 2, config.Revision)
	must.EqJSON(t, earlierConfig, string(config.Document))
	must.Len(t, 2, config.Parsed.Routes)

	for _, step := range []struct {
		kind, key, args string
		want            map[string]any
	}{
		{"lock/read", "lock/jobs/nightly", `{}`, map[string]any{"fence": 2., "grant": 2., "held": true, "holder": "worker-2", "ttlMs": 60000.}},
		{"lock/renew", "lock/jobs/nightly", `{"holder":"worker-2","fence":2,"ttlMs":60000}`, map[string]any{"fence": 2., "held": true, "holder": "worker-2"}},
		{"number/read", "number/tickets", `{}`, map[string]any{"number": 3.}},
		{"number/next", "number/tickets", `{}`, map[string]any{"number": 4.}},
		{"key/read", "key/colour", `{}`, map[string]any{"revision": 2., "value": map[string]any{"now": "blue"}}},
		{"key/read", "key/gone", `{}`, map[string]any{"revision": 2., "deleted": true}},
		{"group/read", "group/plants.", `{"name":"field-1"}`, map[string]any{"revision": 2., "value": map[string]any{"crop": "cotton", "rows": 14.}}},
		{"group/read", "group/plants.", `{"name":"field-2"}`, map[string]any{"revision": 3., "value": "fallow"}},
	} {
		end := c.Execute(ctx, proposer.Operation{Key: ident.Key(step.key), Kind: step.kind, Args: json.RawMessage(step.args)}, 5*time.Second)
		must.Nil(t, end.Failure, must.Sprint(step.kind, " ", step.key))
		var got map[string]any
		must.NoError(t, json.Unmarshal(end.Body, &got))
		for name, want := range step.want {
			must.Eq(t, want, got[name], must.Sprintf("%s of %s: field %s in %s", step.kind, step.key, name, end.Body))
		}
	}
}
