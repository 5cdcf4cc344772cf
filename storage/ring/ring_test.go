package ring

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"testing"

	"cottonarch.example/cottonarch/base/failure"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

func contents(r *Ring) map[string]string {
	out := map[string]string{}
	for _, record := range r.Records() {
		out[record.Key] = string(record.Data)
	}
	return out
}

var errPowerLost = errors.New("power lost")

// losePowerAfter makes the writes and syncs of a folder fail from the given operation on.
func losePowerAfter(folder *MemoryFolder, writes int) {
	folder.BeforeOperation = func(string) error {
		if writes--; writes <= 0 {
			return errPowerLost
		}
		return nil
	}
}

// writeRecords appends 200 records, with a sync after one record in three on average, and returns
// the records covered by the last successful sync. Values begin with an increasing number.
func writeRecords(r *Ring, rng *rand.Rand, width int) (synced map[string]string, err error) {
	synced, appended := map[string]string{}, map[string]string{}
	for i := range 200 {
		key, data := fmt.Sprintf("k%d", rng.IntN(12)), fmt.Sprintf("%d-%0*d", i, rng.IntN(90)+1, width)
		appended[key] = data
		if err := r.Append([]Record{{key, []byte(data)}}); err != nil {
			return synced, err
		}
		if rng.IntN(3) == 0 {
			if err := r.Sync(); err != nil {
				return synced, err
			}
			maps.Copy(synced, appended)
		}
	}
	return synced, nil
}

// recoverFromPowerLoss simulates a loss of power, and up to two more while the ring is opened.
func recoverFromPowerLoss(t *testing.T, folder *MemoryFolder, options Options, rng *rand.Rand, point int) *Ring {
	for attempt := range 3 {
		folder.Crash(func(n int) int { return rng.IntN(n + 1) })
		if attempt < 2 {
			losePowerAfter(folder, rng.IntN(12)+1)
		}
		r, err := Open(folder, options)
		if err == nil {
			folder.BeforeOperation = nil
			return r
		}
		must.True(t, errors.Is(err, errPowerLost) && attempt < 2, must.Sprintf("point %d: %v", point, err))
	}
	return nil
}

// Simulates a loss of power at every write of a long run: synced records are never lost, and no
// older value replaces a synced value.
func TestPowerLossAtEachWritePoint(t *testing.T) {
	options := Options{FileCount: 4, FileSize: 2048}
	for point := 1; point < 400; point++ {
		folder := NewMemoryFolder()
		rng := rand.New(rand.NewPCG(7, uint64(point)))
		losePowerAfter(folder, point)
		var synced map[string]string
		r, err := Open(folder, options)
		if err == nil {
			synced, err = writeRecords(r, rng, point)
		}
		if err == nil {
			continue
		}
		r = recoverFromPowerLoss(t, folder, options, rng, point)
		got := contents(r)
		for key, data := range synced {
			// Only a later, unsynced value may have replaced the synced value.
			var old, now int
			_, _ = fmt.Sscanf(data, "%d-", &old)
			_, err := fmt.Sscanf(got[key], "%d-", &now)
			must.NoError(t, err, must.Sprintf("point %d: key %s was lost", point, key))
			must.LessEq(t, now, old, must.Sprintf("point %d: key %s reverted to an older value", point, key))
		}
		must.NoError(t, r.Append([]Record{{"after", []byte("x")}}))
		must.NoError(t, r.Sync())
	}
}

// A corrupted byte in a synced record is detected, and the record is never returned.
func TestCorruptionIsDetected(t *testing.T) {
	options := Options{FileCount: 4, FileSize: 1024}
	build := func() (*MemoryFolder, map[string]string) {
		folder := NewMemoryFolder()
		r, err := Open(folder, options)
		must.NoError(t, err)
		for i := range 40 {
			must.NoError(t, r.Append([]Record{{fmt.Sprintf("k%d", i%5), []byte(fmt.Sprintf("value-%d", i))}}))
			must.NoError(t, r.Sync())
		}
		return folder, contents(r)
	}
	folder, want := build()
	again, err := Open(folder, options)
	must.NoError(t, err)
	must.Eq(t, want, contents(again))
	caught := 0
	for file := range options.FileCount {
		for offset := int64(0); offset < options.FileSize; offset += 3 {
			folder, _ := build()
			folder.CorruptByte(fmt.Sprintf("ring-%03d", file), offset)
			r, err := Open(folder, options)
			if err != nil {
				test.Eq(t, failure.Corrupted, failure.From(err).Kind)
				caught++
				continue
			}
			// Open may succeed if the byte belongs to no live record. The last record of the
			// ring cannot be distinguished from a torn tail, so only that record may be lost.
			got := contents(r)
			for key, data := range want {
				if got[key] != data && data != "value-39" {
					t.Fatalf("file %d byte %d: %s read as %q", file, offset, key, got[key])
				}
			}
		}
	}
	test.Greater(t, 100, caught)
}

// Records that are never rewritten survive many passes through the ring.
func TestLiveRecordsMoveForward(t *testing.T) {
	folder := NewMemoryFolder()
	r, err := Open(folder, Options{FileCount: 4, FileSize: 1024})
	must.NoError(t, err)
	must.NoError(t, r.Append([]Record{{"old", []byte("stays")}}))
	for i := range 500 {
		must.NoError(t, r.Append([]Record{{"hot", []byte(fmt.Sprint(i))}}))
	}
	must.NoError(t, r.Sync())
	test.Greater(t, 5, r.Moves)
	folder.Crash(func(int) int { return 0 })
	r, err = Open(folder, Options{FileCount: 4, FileSize: 1024})
	must.NoError(t, err)
	test.Eq(t, map[string]string{"old": "stays", "hot": "499"}, contents(r))
}

// After a failed sync, all later syncs and appends fail until the ring is opened again.
func TestSyncErrorBreaksTheRing(t *testing.T) {
	folder := NewMemoryFolder()
	r, err := Open(folder, Options{FileCount: 4, FileSize: 1024})
	must.NoError(t, err)
	must.NoError(t, r.Append([]Record{{"a", []byte("1")}}))
	folder.BeforeOperation = func(operation string) error {
		if operation == "sync" {
			return errors.New("bad disk")
		}
		return nil
	}
	must.Error(t, r.Sync())
	folder.BeforeOperation = nil
	test.Eq(t, failure.DiskFailed, failure.From(r.Sync()).Kind)
	test.Error(t, r.Append([]Record{{"a", []byte("2")}}))
}

// A killed process leaves unsynced writes in the page cache, and the next run reads these writes. A
// later loss of power must not lose the records that the next run has read, for any number of
// unsynced records and however much of them the disk keeps.
func TestWritesOfAKilledRunAreMadeDurable(t *testing.T) {
	for unsynced := range 4 {
		for keep := range 3 {
			folder := NewMemoryFolder()
			options := Options{FileCount: 4, FileSize: 4096}
			open := func() *Ring {
				r, err := Open(folder, options)
				must.NoError(t, err, must.Sprint(unsynced, " unsynced, keeps ", keep))
				return r
			}
			r := open()
			must.NoError(t, r.Append([]Record{{"a", []byte("solid")}}))
			must.NoError(t, r.Sync())
			for i := range unsynced {
				must.NoError(t, r.Append([]Record{{fmt.Sprint("b", i), []byte("soft")}}))
			}
			r = open() // killed, and started again
			must.Eq(t, 1+unsynced, len(r.Records()))
			must.NoError(t, r.Append([]Record{{"c", []byte("later")}}))
			must.NoError(t, r.Sync())
			folder.Crash(func(n int) int { return n * keep / 2 })
			must.Eq(t, 2+unsynced, len(open().Records()))
		}
	}
}

// If a ring has written only one file and the header of that file is corrupted, Open returns an
// error instead of initializing a new ring, so synced records are never lost without an error. A
// ring that lost power while the first header was written holds no records, and is opened as a new
// ring.
func TestCorruptFirstHeaderIsNotANewRing(t *testing.T) {
	options := Options{FileCount: 4, FileSize: 4096}
	for offset := range int64(fileHeaderSize) {
		folder := NewMemoryFolder()
		r, err := Open(folder, options)
		must.NoError(t, err)
		must.NoError(t, r.Append([]Record{{"promise", []byte("7")}}))
		must.NoError(t, r.Sync())
		folder.CorruptByte("ring-000", offset)
		_, err = Open(folder, options)
		must.NotNil(t, err, must.Sprintf("byte %d of the header", offset))
		var typed *failure.Error
		must.True(t, failure.As(err, &typed))
		must.Eq(t, failure.Corrupted, typed.Kind)
	}
	for part := range fileHeaderSize {
		folder := NewMemoryFolder()
		folder.BeforeOperation = func(operation string) error {
			if operation == "sync" {
				return errors.New("power lost")
			}
			return nil
		}
		_, err := Open(folder, options)
		must.NotNil(t, err)
		folder.Crash(func(n int) int { return min(n, part) })
		r, err := Open(folder, options)
		must.NoError(t, err, must.Sprintf("%d bytes of the first header", part))
		must.SliceEmpty(t, r.Records())
	}
}

// If two adjacent files of a ring in its first pass are corrupted, Open returns an error instead of
// opening the ring in the state before these files.
func TestCorruptHeadersDoNotRevertTheRing(t *testing.T) {
	options := Options{FileCount: 5, FileSize: 1024}
	folder := NewMemoryFolder()
	r, err := Open(folder, options)
	must.NoError(t, err)
	for n := 0; r.generation < 3; n++ {
		must.NoError(t, r.Append([]Record{{"promise", fmt.Appendf(nil, "%0100d", n)}}))
		must.NoError(t, r.Sync())
	}
	// The whole second file and the header of the third file are corrupted.
	lost := folder.Files["ring-001"]
	for n := range lost.durable {
		lost.durable[n], lost.cached[n] = 0x77, 0x77
	}
	folder.CorruptByte("ring-002", 5)
	_, err = Open(folder, options)
	must.NotNil(t, err, must.Sprint("the ring was opened in an earlier state"))
}

// A loss of power may remove each file whose directory entry is not synced. Open makes all directory
// entries durable, also entries created by a run that was killed before the sync of the folder. For
// every set of files that may be lost and every point of the kill, synced records survive.
func TestFileNamesAreDurable(t *testing.T) {
	const files, points = 4, 12
	errKilled := errors.New("killed")
	for point := range points {
		for lost := range 1 << files {
			folder := NewMemoryFolder()
			options := Options{FileCount: files, FileSize: 4096}
			writesLeft := point
			folder.BeforeOperation = func(string) error {
				if writesLeft--; writesLeft < 0 {
					return errKilled
				}
				return nil
			}
			if _, err := Open(folder, options); err != nil {
				must.ErrorIs(t, err, errKilled)
			}
			folder.BeforeOperation = nil // the writes of the killed run are in the page cache
			r, err := Open(folder, options)
			must.NoError(t, err)
			must.NoError(t, r.Append([]Record{{"a", []byte("synced")}}))
			must.NoError(t, r.Sync())
			asked := -1
			folder.Crash(func(size int) int {
				asked++
				if lost>>asked&1 == 1 {
					return 0
				}
				return size
			})
			r, err = Open(folder, options)
			must.NoError(t, err, must.Sprint(point, lost))
			must.Eq(t, map[string]string{"a": "synced"}, contents(r), must.Sprint(point, lost))
		}
	}
}

// Open fails if the folder cannot be synced.
func TestOpenFailsWhenTheFolderCannotBeSynced(t *testing.T) {
	folder := NewMemoryFolder()
	folder.BeforeOperation = func(operation string) error {
		if operation == "sync folder" {
			return errors.New("bad folder")
		}
		return nil
	}
	_, err := Open(folder, Options{FileCount: 4, FileSize: 4096})
	must.Error(t, err)
}

// OpenDiskFolder creates the data folder with its parents and excludes a second holder, and a ring
// in the folder can be read back.
func TestDiskFolder(t *testing.T) {
	path := filepath.Join(t.TempDir(), "made", "here")
	for start := range 3 {
		dir, err := OpenDiskFolder(path)
		must.NoError(t, err)
		_, err = OpenDiskFolder(path)
		must.Error(t, err, must.Sprint("a second holder"))
		r, err := Open(dir, Options{FileCount: 4, FileSize: 4096})
		must.NoError(t, err)
		must.Len(t, start, r.Records())
		must.NoError(t, r.Append([]Record{{fmt.Sprint(start), []byte("x")}}))
		must.NoError(t, r.Sync())
		must.NoError(t, dir.Close())
	}
}

// BenchmarkOpenAfterManyLaps measures Open for a ring of the size used by the platform, with a value
// of 100 KB among the records, after many passes through the files.
func BenchmarkOpenAfterManyLaps(b *testing.B) {
	folder, options := NewMemoryFolder(), Options{FileCount: 4, FileSize: 12 << 20}
	r, err := Open(folder, options)
	if err != nil {
		b.Fatal(err)
	}
	largeValue := make([]byte, 100<<10)
	for i := range 2000 {
		batch := []Record{{"c/manifest", largeValue}, {fmt.Sprint("c/group/", i%50), largeValue[:4<<10]}}
		if err := r.Append(batch); err != nil {
			b.Fatal(err)
		}
		if err := r.Sync(); err != nil {
			b.Fatal(err)
		}
	}
	var read uint64
	for b.Loop() {
		before := folder.BytesRead
		if _, err := Open(folder, options); err != nil {
			b.Fatal(err)
		}
		read = max(read, folder.BytesRead-before)
	}
	b.ReportMetric(float64(read), "bytes-read")
}
