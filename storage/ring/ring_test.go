package ring

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"testing"

	"cottonarch.example/cottonarch/kernel/failure"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

func see(r *Ring) map[string]string {
	out := map[string]string{}
	for _, rec := range r.Records() {
		out[rec.Tag] = string(rec.Data)
	}
	return out
}

// Power is lost at every single write point of a long run; what a Sync covered is
// always there afterwards, and nothing older ever comes back.
func TestPowerLossAtEachWritePoint(t *testing.T) {
	boot := Boot{Files: 4, Size: 2048}
	cut := errors.New("power is gone")
	for point := 1; point < 400; point++ {
		box, left := NewMem(), point
		rng := rand.New(rand.NewPCG(7, uint64(point)))
		box.Fail = func(string) error {
			if left--; left <= 0 {
				return cut
			}
			return nil
		}
		sure, maybe := map[string]string{}, map[string]string{}
		lap := func(r *Ring) error {
			for i := range 200 {
				tag, data := fmt.Sprintf("k%d", rng.IntN(12)), fmt.Sprintf("%d-%0*d", i, rng.IntN(90)+1, point)
				maybe[tag] = data
				if err := r.Append([]Record{{tag, []byte(data)}}); err != nil {
					return err
				}
				if rng.IntN(3) == 0 {
					if err := r.Sync(); err != nil {
						return err
					}
					for k, v := range maybe {
						sure[k] = v
					}
				}
			}
			return nil
		}
		r, err := Open(box, boot)
		if err == nil {
			err = lap(r)
		}
		if err == nil {
			continue
		}
		for again := range 3 { // and again while recovering
			box.Crash(func(n int) int { return rng.IntN(n + 1) })
			if again < 2 {
				left = rng.IntN(12) + 1
				box.Fail = func(string) error {
					if left--; left <= 0 {
						return cut
					}
					return nil
				}
			}
			r, err = Open(box, boot)
			if err == nil {
				break
			}
			must.True(t, errors.Is(err, cut) && again < 2, must.Sprintf("point %d: %v", point, err))
		}
		box.Fail = nil
		got := see(r)
		for tag, data := range sure {
			// Only values written later, and never confirmed, may stand instead.
			var old, now int
			_, _ = fmt.Sscanf(data, "%d-", &old)
			_, err := fmt.Sscanf(got[tag], "%d-", &now)
			must.NoError(t, err, must.Sprintf("point %d tag %s lost", point, tag))
			must.LessEq(t, now, old, must.Sprintf("point %d tag %s went back", point, tag))
		}
		must.NoError(t, r.Append([]Record{{"after", []byte("x")}}))
		must.NoError(t, r.Sync())
	}
}

// Any synced byte that is flipped is recognised, never read as good.
func TestDamageIsRecognised(t *testing.T) {
	boot := Boot{Files: 4, Size: 1024}
	build := func() (*Mem, map[string]string) {
		box := NewMem()
		r, err := Open(box, boot)
		must.NoError(t, err)
		for i := range 40 {
			must.NoError(t, r.Append([]Record{{fmt.Sprintf("k%d", i%5), []byte(fmt.Sprintf("value-%d", i))}}))
			must.NoError(t, r.Sync())
		}
		return box, see(r)
	}
	box, want := build()
	again, err := Open(box, boot)
	must.NoError(t, err)
	must.Eq(t, want, see(again))
	caught := 0
	for file := range boot.Files {
		for off := int64(0); off < boot.Size; off += 3 {
			box, _ := build()
			box.Flip(fmt.Sprintf("ring-%03d", file), off)
			r, err := Open(box, boot)
			if err != nil {
				test.Eq(t, failure.Damaged, failure.Of(err).Kind)
				caught++
				continue
			}
			// Harmless places are dead bytes; the last record of all cannot be told
			// from a torn tail and is the single loss allowed.
			got := see(r)
			for tag, data := range want {
				if got[tag] != data && data != "value-39" {
					t.Fatalf("file %d byte %d: %s read as %q", file, off, tag, got[tag])
				}
			}
		}
	}
	test.Greater(t, 100, caught)
}

// Records that are never rewritten outlive many laps.
func TestLiveRecordsMoveForward(t *testing.T) {
	box := NewMem()
	r, err := Open(box, Boot{Files: 4, Size: 1024})
	must.NoError(t, err)
	must.NoError(t, r.Append([]Record{{"old", []byte("stays")}}))
	for i := range 500 {
		must.NoError(t, r.Append([]Record{{"hot", []byte(fmt.Sprint(i))}}))
	}
	must.NoError(t, r.Sync())
	test.Greater(t, 5, r.Moves)
	box.Crash(func(int) int { return 0 })
	r, err = Open(box, Boot{Files: 4, Size: 1024})
	must.NoError(t, err)
	test.Eq(t, map[string]string{"old": "stays", "hot": "499"}, see(r))
}

// A failed sync ends the ring until it is opened anew.
func TestSyncErrorBreaksTheRing(t *testing.T) {
	box := NewMem()
	r, err := Open(box, Boot{Files: 4, Size: 1024})
	must.NoError(t, err)
	must.NoError(t, r.Append([]Record{{"a", []byte("1")}}))
	box.Fail = func(deed string) error {
		if deed == "sync" {
			return errors.New("bad disk")
		}
		return nil
	}
	must.Error(t, r.Sync())
	box.Fail = nil
	test.Eq(t, failure.DiskFailed, failure.Of(r.Sync()).Kind)
	test.Error(t, r.Append([]Record{{"a", []byte("2")}}))
}

// A process that is killed leaves writes that no sync covered; the next run reads them as
// they are. Power that is lost later must not take what that run built on: after each
// number of unsynced records, however many of them the disk keeps.
func TestWhatAKilledRunLeftIsMadeToLast(t *testing.T) {
	for soft := range 4 {
		for keep := range 3 {
			box := NewMem()
			boot := Boot{Files: 4, Size: 4096}
			open := func() *Ring {
				r, err := Open(box, boot)
				must.NoError(t, err, must.Sprint(soft, " unsynced, keeps ", keep))
				return r
			}
			r := open()
			must.NoError(t, r.Append([]Record{{"a", []byte("solid")}}))
			must.NoError(t, r.Sync())
			for i := range soft {
				must.NoError(t, r.Append([]Record{{fmt.Sprint("b", i), []byte("soft")}}))
			}
			r = open() // killed, and started again
			must.Eq(t, 1+soft, len(r.Records()))
			must.NoError(t, r.Append([]Record{{"c", []byte("later")}}))
			must.NoError(t, r.Sync())
			box.Crash(func(n int) int { return n * keep / 2 })
			must.Eq(t, 2+soft, len(open().Records()))
		}
	}
}

// A damaged head of the only file that a young ring has written does not make it a new one:
// what was synced is never forgotten without a word. A ring that lost power while its first
// head was written holds nothing yet, and begins anew.
func TestDamagedFirstHeadIsNoNewRing(t *testing.T) {
	boot := Boot{Files: 4, Size: 4096}
	for off := range int64(fileHead) {
		box := NewMem()
		r, err := Open(box, boot)
		must.NoError(t, err)
		must.NoError(t, r.Append([]Record{{"promise", []byte("7")}}))
		must.NoError(t, r.Sync())
		box.Flip("ring-000", off)
		_, err = Open(box, boot)
		must.NotNil(t, err, must.Sprintf("byte %d of the head", off))
		var d *failure.Error
		must.True(t, failure.Find(err, &d))
		must.Eq(t, failure.Damaged, d.Kind)
	}
	for part := range fileHead {
		box := NewMem()
		box.Fail = func(deed string) error {
			if deed == "sync" {
				return errors.New("power is gone")
			}
			return nil
		}
		_, err := Open(box, boot)
		must.NotNil(t, err)
		box.Crash(func(n int) int { return min(n, part) })
		r, err := Open(box, boot)
		must.NoError(t, err, must.Sprintf("%d bytes of the first head", part))
		must.SliceEmpty(t, r.Records())
	}
}

// Two damaged heads beside each other do not take a young ring back to the lap before them.
func TestDamagedHeadsOfAYoungRingAreNoOlderRing(t *testing.T) {
	boot := Boot{Files: 5, Size: 1024}
	box := NewMem()
	r, err := Open(box, boot)
	must.NoError(t, err)
	for n := 0; r.lap < 3; n++ {
		must.NoError(t, r.Append([]Record{{"promise", fmt.Appendf(nil, "%0100d", n)}}))
		must.NoError(t, r.Sync())
	}
	// The second file is lost whole, and the third's head.
	lost := box.Files["ring-001"]
	for n := range lost.solid {
		lost.solid[n], lost.soft[n] = 0x77, 0x77
	}
	box.Flip("ring-002", 5)
	_, err = Open(box, boot)
	must.NotNil(t, err, must.Sprint("an older ring was opened"))
}

// A loss of power may take each file whose name no sync of the folder covered. Before
// anything counts all names last, also those that a run made which was killed before it
// had synced the folder: for each set of files that may be lost and each point of such a
// kill, what was synced is there.
func TestNamesOfFilesLast(t *testing.T) {
	const files, points = 4, 12
	killed := errors.New("killed")
	for point := range points {
		for lost := range 1 << files {
			box := NewMem()
			boot := Boot{Files: files, Size: 4096}
			left := point
			box.Fail = func(string) error {
				if left--; left < 0 {
					return killed
				}
				return nil
			}
			if _, err := Open(box, boot); err != nil {
				must.ErrorIs(t, err, killed)
			}
			box.Fail = nil // what the killed run wrote is in the page cache
			r, err := Open(box, boot)
			must.NoError(t, err)
			must.NoError(t, r.Append([]Record{{"a", []byte("synced")}}))
			must.NoError(t, r.Sync())
			n := -1
			box.Crash(func(size int) int {
				n++
				if lost>>n&1 == 1 {
					return 0
				}
				return size
			})
			r, err = Open(box, boot)
			must.NoError(t, err, must.Sprint(point, lost))
			must.Eq(t, map[string]string{"a": "synced"}, see(r), must.Sprint(point, lost))
		}
	}
}

// Nothing counts in a folder that can't be synced.
func TestFolderThatCannotBeSynced(t *testing.T) {
	box := NewMem()
	box.Fail = func(deed string) error {
		if deed == "sync folder" {
			return errors.New("bad folder")
		}
		return nil
	}
	_, err := Open(box, Boot{Files: 4, Size: 4096})
	must.Error(t, err)
}

// A data folder is made with those above it, and a ring in it is read back.
func TestFolderOnARealDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "made", "here")
	for start := range 3 {
		dir, err := OpenDir(path)
		must.NoError(t, err)
		_, err = OpenDir(path)
		must.Error(t, err, must.Sprint("a second holder"))
		r, err := Open(dir, Boot{Files: 4, Size: 4096})
		must.NoError(t, err)
		must.Len(t, start, r.Records())
		must.NoError(t, r.Append([]Record{{fmt.Sprint(start), []byte("x")}}))
		must.NoError(t, r.Sync())
		must.NoError(t, dir.Close())
	}
}

// A start from a ring as large as the platform's, with a manifest of 100 KB among its
// records, after many laps.
func BenchmarkOpenAfterManyLaps(b *testing.B) {
	box, boot := NewMem(), Boot{Files: 4, Size: 12 << 20}
	r, err := Open(box, boot)
	if err != nil {
		b.Fatal(err)
	}
	manifest := make([]byte, 100<<10)
	for i := range 2000 {
		batch := []Record{{"c/manifest", manifest}, {fmt.Sprint("c/group/", i%50), manifest[:4<<10]}}
		if err := r.Append(batch); err != nil {
			b.Fatal(err)
		}
		if err := r.Sync(); err != nil {
			b.Fatal(err)
		}
	}
	var read uint64
	for b.Loop() {
		before := box.Read
		if _, err := Open(box, boot); err != nil {
			b.Fatal(err)
		}
		read = max(read, box.Read-before)
	}
	b.ReportMetric(float64(read), "bytes-read")
}
