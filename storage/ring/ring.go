// Package ring keeps the newest record of each tag in a ring of preallocated
// files.
package ring

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"slices"

	"cottonarch.example/cottonarch/kernel/failure"
)

const (
	fileMagic   = 0x43544152
	recordMagic = 0x52454344
	fileHead    = 32
	recordHead  = 36
	movedTag    = "\x00moved"
)

var table = crc32.MakeTable(crc32.Castagnoli)

// Boot sizes a ring.
type Boot struct {
	Files int
	Size  int64
}

// Record is one tag with its newest data.
type Record struct {
	Tag  string
	Data []byte
}

type live struct {
	file int
	data []byte
}

// Ring is the ring of files. Invariants:
//   - sequence numbers rise by one a record, over all files;
//   - a file's head names its lap and its first sequence number, so no record of an
//     earlier lap or of a torn tail is ever read again;
//   - the file after the current one holds no live record once the current file
//     holds its "moved" mark, and only then is it overwritten;
//   - every record names the last sequence known synced when it was written, so
//     that damage is told from a torn tail.
type Ring struct {
	boot   Boot
	files  []File
	now    int
	lap    uint64
	off    int64
	seq    uint64
	synced uint64
	dirty  map[int]bool
	held   map[string]live
	bulk   int64
	broken error
	tail   int64
	// Counters.
	Appends, Syncs, Moves, Bytes uint64
}

func (r *Ring) size(tag string, data []byte) int64 {
	return int64(recordHead + len(tag) + len(data))
}

// countMax is beyond what any ring counts to, and far from where a count would wrap.
const countMax = 1 << 62

// counted tells whether a number of a head may be a count: laps and records count from 1.
func counted(n uint64) bool { return n > 0 && n < countMax }

// Open recovers a ring. It answers a Damaged failure when anything that was synced
// cannot be read whole.
func Open(box Folder, boot Boot) (*Ring, error) {
	r := &Ring{boot: boot, dirty: map[int]bool{}, held: map[string]live{}}
	type head struct {
		ok, blank  bool
		lap, first uint64
	}
	heads := make([]head, boot.Files)
	top := -1
	for i := range boot.Files {
		f, err := box.Open(fmt.Sprintf("ring-%03d", i), boot.Size)
		if err != nil {
			return nil, err
		}
		r.files = append(r.files, f)
	}
	// Also where all files were there: a run that was killed may have made them and not
	// synced the folder. Nothing is written before their names last.
	if err := box.Sync(); err != nil {
		return nil, err
	}
	for i, f := range r.files {
		raw := make([]byte, fileHead)
		if _, err := f.ReadAt(raw, 0); err != nil {
			return nil, failure.Wrap(err, failure.DiskFailed, "read head")
		}
		h := head{blank: !slices.ContainsFunc(raw, func(b byte) bool { return b != 0 })}
		if binary.LittleEndian.Uint32(raw) == fileMagic && crc32.Checksum(raw[:28], table) == binary.LittleEndian.Uint32(raw[28:]) {
			h.lap, h.first = binary.LittleEndian.Uint64(raw[4:]), binary.LittleEndian.Uint64(raw[12:])
			h.ok = counted(h.lap) && counted(h.first)
			if h.ok && (top < 0 || h.lap > heads[top].lap) {
				top = i
			}
		}
		heads[i] = h
	}
	if top < 0 {
		for i, h := range heads {
			if !h.blank && i != 0 {
				return nil, failure.New(failure.Damaged, "ring-%03d: head is damaged", i)
			}
		}
		// Records follow a head only once it was synced: without a head, one that knew
		// anything as synced proves that the head was there and is damaged.
		if err := r.behind(0, 1, fileHead); err != nil {
			return nil, err
		}
		r.now, r.seq = boot.Files-1, 0
		return r, r.advance()
	}
	next := (top + 1) % boot.Files
	// Walk from the oldest file to the newest.
	r.lap = heads[top].lap
	moved, err := r.marked(top, heads[top].first)
	if err != nil {
		return nil, err
	}
	for step := boot.Files - 1; step >= 0; step-- {
		i := (top - step + boot.Files) % boot.Files
		if moved && step == boot.Files-1 && boot.Files > 1 {
			continue // dead: its overwriting may have begun
		}
		want := r.lap - uint64(step)
		if uint64(step) >= r.lap {
			// The first lap had not come this far; only the next file's head may be torn.
			if !heads[i].blank && i != next {
				return nil, failure.New(failure.Damaged, "ring-%03d: head is damaged", i)
			}
			continue
		}
		if !heads[i].ok || heads[i].lap != want {
			if step == boot.Files-1 {
				continue // judged below, by the moved mark
			}
			return nil, failure.New(failure.Damaged, "ring-%03d: head is damaged", i)
		}
		limit := ^uint64(0)
		if step > 0 {
			limit = heads[(i+1)%boot.Files].first
		}
		if r.seq != 0 && heads[i].first != r.seq+1 {
			return nil, failure.New(failure.Damaged, "ring-%03d: begins at %d, wanted %d", i, heads[i].first, r.seq+1)
		}
		r.seq = heads[i].first - 1
		if err := r.scan(i, want, limit); err != nil {
			return nil, err
		}
		if step > 0 && r.seq+1 != limit {
			return nil, failure.New(failure.Damaged, "ring-%03d: record %d is damaged", i, r.seq+1)
		}
	}
	if r.lap >= uint64(boot.Files) && (!heads[next].ok || heads[next].lap != r.lap-uint64(boot.Files)+1) && !moved {
		return nil, failure.New(failure.Damaged, "ring-%03d: head is damaged before its records were moved", next)
	}
	if err := r.behind(next, r.lap+1, fileHead); err != nil {
		return nil, err
	}
	r.now, r.synced = top, r.seq
	// A run that was killed may have left writes that no sync covered. They were read, so
	// they must last before anything is built on them.
	for i := range r.files {
		r.dirty[i] = true
	}
	if err := r.Sync(); err != nil {
		return nil, err
	}
	if !moved {
		// The move was cut short. Whatever was appended after the head were only
		// moved records, so starting that file anew loses nothing and has room.
		r.off = r.tail
		if err := r.evict(); err != nil {
			return nil, err
		}
	}
	return r, r.advance()
}

// view is a file as far as it was read. Invariant: raw is the file from its begin on.
type view struct {
	file File
	size int64
	raw  []byte
}

// chunk is how much of a file is read at once: a ring that holds little is opened without
// reading all of its files.
const chunk = 256 << 10

// more reads on until at least n bytes are there, or the file ends.
func (v *view) more(n int64) error {
	for n = min(n, v.size); int64(len(v.raw)) < n; {
		at := len(v.raw)
		next := int(min(chunk, v.size-int64(at)))
		if cap(v.raw)-at < next {
			v.raw = slices.Grow(v.raw, int(min(max(chunk, int64(at)), v.size-int64(at)))) // twice as much
		}
		v.raw = v.raw[:at+next]
		if _, err := v.file.ReadAt(v.raw[at:], int64(at)); err != nil {
			return failure.Wrap(err, failure.DiskFailed, "read records")
		}
	}
	return nil
}

// blank is how much that was never written ends the look for lost records: more than any
// loss of power leaves out between two syncs.
const blank = 4 * chunk

// rest reads on from an offset to the end of what was ever written.
func (v *view) rest(from int64) error {
	if err := v.more(from); err != nil {
		return err
	}
	for none := 0; none < blank && int64(len(v.raw)) < v.size; {
		at := len(v.raw)
		if err := v.more(int64(at) + chunk); err != nil {
			return err
		}
		if none += chunk; len(bytes.Trim(v.raw[at:], "\x00")) > 0 {
			none = 0
		}
	}
	return nil
}

// record reads the record at an offset.
func (v *view) record(off int64, lap uint64) (tag string, data []byte, seq, synced uint64, ok bool, err error) {
	if err = v.more(off + recordHead); err != nil || int64(len(v.raw)) < off+recordHead || binary.LittleEndian.Uint32(v.raw[off:]) != recordMagic {
		return
	}
	if err = v.more(off + recordHead + int64(binary.LittleEndian.Uint32(v.raw[off+8:]))); err != nil {
		return
	}
	tag, data, seq, synced, ok = parse(v.raw[off:], lap)
	return
}

func (r *Ring) view(i int) *view { return &view{file: r.files[i], size: r.boot.Size} }

// marked tells whether the newest file holds its moved mark.
func (r *Ring) marked(i int, first uint64) (bool, error) {
	v := r.view(i)
	for off, want := int64(fileHead), first; ; want++ {
		tag, data, seq, _, ok, err := v.record(off, r.lap)
		if err != nil || !ok || seq != want {
			return false, err
		}
		if tag == movedTag {
			return true, nil
		}
		off += r.size(tag, data)
	}
}

// scan reads the records of one file up to limit, keeping the newest of each tag.
func (r *Ring) scan(i int, lap, limit uint64) error {
	v := r.view(i)
	off := int64(fileHead)
	found := map[string][]byte{} // of this file, as it was read
	for r.seq+1 < limit {
		tag, data, seq, _, ok, err := v.record(off, lap)
		if err != nil {
			return err
		}
		if !ok || seq != r.seq+1 {
			break
		}
		r.seq = seq
		off += r.size(tag, data)
		if tag == movedTag {
			continue
		}
		found[tag] = data
	}
	for tag, data := range found {
		r.keep(tag, bytes.Clone(data), i)
	}
	r.tail = off
	if limit == ^uint64(0) {
		return r.behind(i, lap, off)
	}
	return nil
}

// behind looks for a record behind the stop that knew a lost one as synced: that
// proves damage, where a torn tail leaves none.
func (r *Ring) behind(i int, lap uint64, from int64) error {
	v := r.view(i)
	if err := v.rest(from); err != nil {
		return err
	}
	magic := binary.LittleEndian.AppendUint32(nil, recordMagic)
	for at := from; at+recordHead <= int64(len(v.raw)); at++ {
		n := bytes.Index(v.raw[at:], magic)
		if n < 0 {
			return nil
		}
		at += int64(n)
		if _, _, seq, synced, ok := parse(v.raw[at:], lap); ok && seq > r.seq && synced > r.seq {
			return failure.New(failure.Damaged, "ring-%03d: record %d is damaged", i, r.seq+1)
		}
	}
	return nil
}

// parse reads one record; ok is false when its checksum or lap is not right.
func parse(raw []byte, lap uint64) (tag string, data []byte, seq, synced uint64, ok bool) {
	if len(raw) < recordHead || binary.LittleEndian.Uint32(raw) != recordMagic {
		return
	}
	size, wide := binary.LittleEndian.Uint32(raw[8:]), binary.LittleEndian.Uint16(raw[12:])
	end := int64(recordHead) + int64(size)
	if end > int64(len(raw)) || uint32(wide) > size {
		return
	}
	sum := crc32.Checksum(raw[8:end], table)
	sum = crc32.Update(sum, table, binary.LittleEndian.AppendUint64(nil, lap))
	if sum != binary.LittleEndian.Uint32(raw[4:]) {
		return
	}
	seq, synced = binary.LittleEndian.Uint64(raw[14:]), binary.LittleEndian.Uint64(raw[22:])
	body := raw[recordHead:end]
	return string(body[:wide]), body[wide:], seq, synced, true
}

func (r *Ring) keep(tag string, data []byte, file int) {
	if old, ok := r.held[tag]; ok {
		r.bulk -= r.size(tag, old.data)
	}
	r.held[tag] = live{file, data}
	r.bulk += r.size(tag, data)
}

// put writes one record into the current file, which must have room.
func (r *Ring) put(tag string, data []byte) error {
	r.seq++
	raw := make([]byte, recordHead, r.size(tag, data))
	binary.LittleEndian.PutUint32(raw, recordMagic)
	binary.LittleEndian.PutUint32(raw[8:], uint32(len(tag)+len(data)))
	binary.LittleEndian.PutUint16(raw[12:], uint16(len(tag)))
	binary.LittleEndian.PutUint64(raw[14:], r.seq)
	binary.LittleEndian.PutUint64(raw[22:], r.synced)
	raw = append(append(raw, tag...), data...)
	sum := crc32.Checksum(raw[8:], table)
	sum = crc32.Update(sum, table, binary.LittleEndian.AppendUint64(nil, r.lap))
	binary.LittleEndian.PutUint32(raw[4:], sum)
	if _, err := r.files[r.now].WriteAt(raw, r.off); err != nil {
		r.broken = failure.Wrap(err, failure.DiskFailed, "write record")
		return r.broken
	}
	r.dirty[r.now] = true
	r.off += int64(len(raw))
	r.Bytes += uint64(len(raw))
	if tag != movedTag {
		r.keep(tag, data, r.now)
	}
	return nil
}

// evict moves the live records of the next file into the current one and marks it.
func (r *Ring) evict() error {
	next := (r.now + 1) % r.boot.Files
	var tags []string
	need := r.size(movedTag, nil)
	for tag, l := range r.held {
		if l.file == next {
			tags = append(tags, tag)
			need += r.size(tag, l.data)
		}
	}
	if r.off+need > r.boot.Size {
		return failure.New(failure.DiskFailed, "no room to move live records forward")
	}
	slices.Sort(tags)
	for _, tag := range tags {
		if err := r.put(tag, r.held[tag].data); err != nil {
			return err
		}
		r.Moves++
	}
	return r.put(movedTag, nil)
}

// advance goes to the next file, which holds nothing live.
func (r *Ring) advance() error {
	if err := r.Sync(); err != nil {
		return err
	}
	r.now = (r.now + 1) % r.boot.Files
	r.lap++
	raw := make([]byte, fileHead)
	binary.LittleEndian.PutUint32(raw, fileMagic)
	binary.LittleEndian.PutUint64(raw[4:], r.lap)
	binary.LittleEndian.PutUint64(raw[12:], r.seq+1)
	binary.LittleEndian.PutUint32(raw[28:], crc32.Checksum(raw[:28], table))
	if _, err := r.files[r.now].WriteAt(raw, 0); err != nil {
		r.broken = failure.Wrap(err, failure.DiskFailed, "write head")
		return r.broken
	}
	r.dirty[r.now], r.off = true, fileHead
	if err := r.evict(); err != nil {
		return err
	}
	return r.Sync()
}

// Room is the part of the space for live records that is still free.
func (r *Ring) Room() float64 { return 1 - float64(r.bulk)/float64(r.most()) }

func (r *Ring) most() int64 { return r.boot.Size * int64(r.boot.Files-2) / 2 }

// Most is the largest record that fits.
func (r *Ring) Most() int64 { return r.boot.Size / 2 }

// Append writes records; they count only after Sync. A refusal for want of room
// leaves the ring as it was.
func (r *Ring) Append(batch []Record) error {
	if r.broken != nil {
		return r.broken
	}
	for _, rec := range batch {
		need := r.size(rec.Tag, rec.Data)
		if need > r.Most() {
			return failure.New(failure.Oversize, "record of %d bytes", need)
		}
		if r.bulk+need > r.most() {
			return failure.New(failure.DiskFailed, "the ring is full of live records")
		}
		for tries := 0; r.off+need > r.boot.Size; tries++ {
			if tries > r.boot.Files {
				return failure.New(failure.DiskFailed, "no room after a whole lap")
			}
			if err := r.advance(); err != nil {
				return err
			}
		}
		if err := r.put(rec.Tag, rec.Data); err != nil {
			return err
		}
		r.Appends++
	}
	return nil
}

// Sync makes all that was appended last. After a failed sync nothing counts any
// more: the ring stays broken until it is opened anew.
func (r *Ring) Sync() error {
	if r.broken != nil {
		return r.broken
	}
	for i := range r.files {
		if !r.dirty[i] {
			continue
		}
		if err := r.files[i].Sync(); err != nil {
			r.broken = failure.Wrap(err, failure.DiskFailed, "sync")
			return r.broken
		}
		delete(r.dirty, i)
		r.Syncs++
	}
	r.synced = r.seq
	return nil
}

// Records lists the newest record of each tag, in order of tag.
func (r *Ring) Records() []Record {
	out := make([]Record, 0, len(r.held))
	for tag, l := range r.held {
		out = append(out, Record{tag, l.data})
	}
	slices.SortFunc(out, func(a, b Record) int {
		if a.Tag < b.Tag {
			return -1
		}
		return 1
	})
	return out
}
