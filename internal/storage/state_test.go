package storage

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"go.etcd.io/bbolt"
	"pgregory.net/rapid"
)

var t0 = time.UnixMilli(1767600000000)

func testWrite(id uint64, at time.Time) WriteAttempt {
	return WriteAttempt{ID: id, Class: "load", Key: fmt.Sprint("k", id%3), Hash: id, Engine: "e", SentAt: at,
		Window: 15 * time.Second}
}

func openLog(t *testing.T, dir string) (*Log, []Record, []string) {
	t.Helper()
	var notes []string
	l, records, err := Open(dir, func(s string) { notes = append(notes, s) })
	if err != nil {
		t.Fatal(err)
	}
	return l, records, notes
}

// Power lost at any byte: whatever is left of the file, what was acknowledged before the cut is read and
// nothing else, and the log can be written on. A bit turned anywhere loses at most what stands from there on.
func TestLogCutOrFlippedAtAnyByte(t *testing.T) {
	dir := t.TempDir()
	l, _, _ := openLog(t, dir)
	var want []Record
	var ends []int // of each record in the file
	for i := range uint64(6) {
		r := WriteSentRecord(testWrite(i, t0))
		if i%2 == 1 {
			r = WriteEndedRecord(i - 1)
		}
		if err := l.Append([]Record{r}); err != nil {
			t.Fatal(err)
		}
		want = append(want, r)
		ends = append(ends, int(l.durableSize))
	}
	l.Close()
	path := filepath.Join(dir, "state")
	whole, _ := os.ReadFile(path)
	for n := 0; n <= len(whole); n++ {
		for _, flip := range []bool{false, true} {
			b := append([]byte{}, whole[:n]...)
			if flip {
				if n == len(whole) {
					continue
				}
				b = append([]byte{}, whole...)
				b[n] ^= 1 << (n % 8)
			}
			os.WriteFile(path, b, 0o600)
			os.Remove(path + ".damaged")
			l, got, notes := openLog(t, dir)
			whatever := 0
			for whatever < len(ends) && ends[whatever] <= n {
				whatever++
			}
			if n < len(encodeHeader()) {
				whatever = 0
				if _, err := os.Stat(path + ".damaged"); err != nil || len(notes) == 0 {
					t.Fatalf("cut at %d, flip %v: a file of another form was not set aside", n, flip)
				}
			}
			if len(got) != whatever || whatever > 0 && !reflect.DeepEqual(got, want[:whatever]) {
				t.Fatalf("cut at %d, flip %v: %d records, want %d", n, flip, len(got), whatever)
			}
			if err := l.Append([]Record{CleanShutdownRecord()}); err != nil {
				t.Fatal(err)
			}
			l.Close()
			l, got, notes = openLog(t, dir)
			if len(got) != whatever+1 || len(notes) > 0 {
				t.Fatalf("cut at %d: after an append %d records, notes %v", n, len(got), notes)
			}
			l.Close()
		}
	}
}

func TestDirectoryIsLockedByOneProcess(t *testing.T) {
	dir := t.TempDir()
	l, _, _ := openLog(t, dir)
	if _, _, err := Open(dir, func(string) {}); !errors.Is(err, ErrLocked) {
		t.Errorf("a second opening: %v", err)
	}
	l.Close()
	l, _, _ = openLog(t, dir)
	l.Close()
}

// fullDisk is a disk on which only so many bytes have room.
type fullDisk struct {
	File
	capacity int
}

func (f *fullDisk) Write(b []byte) (int, error) {
	if len(b) > f.capacity {
		n, _ := f.File.Write(b[:f.capacity])
		f.capacity = 0
		return n, errors.New("no space left on device")
	}
	f.capacity -= len(b)
	return f.File.Write(b)
}

func TestDiskFull(t *testing.T) {
	dir := t.TempDir()
	l, _, _ := openLog(t, dir)
	disk := &fullDisk{File: l.file, capacity: 200}
	l.file = disk
	kept := 0
	for i := range uint64(20) {
		err := l.Append([]Record{WriteSentRecord(testWrite(i, t0))})
		if err == nil {
			kept++
		} else if disk.capacity = 0; i == 10 {
			disk.capacity = 1 << 20 // there is room again
		}
	}
	if err := l.Rewrite(nil); err != nil {
		t.Fatal(err)
	}
	l.Close()
	l, got, notes := openLog(t, dir)
	if len(got) != 0 || len(notes) != 0 {
		t.Errorf("%d records, notes %v", len(got), notes)
	}
	l.file = &fullDisk{File: l.file, capacity: 100}
	if l.Append([]Record{WriteSentRecord(testWrite(1, t0))}) == nil &&
		l.Append([]Record{WriteSentRecord(testWrite(2, t0))}) == nil {
		t.Error("two records of 150 bytes fitted into 100")
	}
	l.Close()
	if l, _, notes = openLog(t, dir); len(notes) != 0 {
		t.Errorf("half a record was left behind: %v", notes)
	}
	l.Close()
	if kept == 0 || kept == 20 {
		t.Errorf("%d of 20 were kept", kept)
	}
}

// The book against a plain list of what is out, through a log that is read again at random, with clocks that
// jump.
func TestStateAgainstReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		book, out := NewState(), map[uint64]WriteAttempt{}
		var records []Record
		now := t0
		for id := range uint64(rapid.IntRange(1, 50).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pass")) * time.Millisecond)
			var r Record
			if rapid.Bool().Draw(t, "send") {
				l := testWrite(id, now)
				out[id], r = l, WriteSentRecord(l)
			} else {
				end := uint64(rapid.IntRange(0, int(id)).Draw(t, "end"))
				delete(out, end)
				r = WriteEndedRecord(end)
			}
			records = append(records, r)
			book.Apply([]Record{r})
			if rapid.IntRange(0, 5).Draw(t, "again") == 0 { // a death, or a rewriting
				again := NewState()
				if rapid.Bool().Draw(t, "rewritten") {
					records = book.Compacted(Instant{Wall: now})
				}
				again.Apply(records)
				book = again
			}
			want := 0
			for _, l := range out {
				if now.Sub(l.SentAt) <= l.Window {
					want++
				}
			}
			if got := book.PendingWrites(Instant{Wall: now}); len(got) != want {
				t.Fatalf("%d open, want %d", len(got), want)
			}
			for _, l := range book.PendingWrites(Instant{Wall: now.Add(-time.Hour)}) { // a clock that jumped back
				if l.SentAt.After(now.Add(-time.Hour)) {
					t.Fatalf("a load from the future: %+v", l)
				}
			}
		}
	})
}

func TestRecoveryGuard(t *testing.T) {
	book := NewState()
	zone, all := testWrite(1, t0), testWrite(2, t0)
	all.AllEngines = true
	book.Apply([]Record{WriteSentRecord(zone), WriteSentRecord(all)})
	back := t0.Add(time.Second)
	r := NewRecoveryGuard(book, Instant{Wall: back}, 500*time.Millisecond)
	for _, c := range []struct {
		after time.Duration
		key   string
		hash  uint64
		want  Decision
		wait  time.Duration
	}{
		// the same load, one group drops it
		{0, "k1", 1, Reject, 14 * time.Second},
		// the same load, all drop it: its key rests
		{0, "k2", 2, Delay, 500 * time.Millisecond},
		{0, "k1", 9, Delay, 500 * time.Millisecond},                         // another load with the key
		{0, "k9", 9, Allow, 0},                                              // another key
		{600 * time.Millisecond, "k2", 2, Allow, 0},                         // rested
		{600 * time.Millisecond, "k1", 1, Reject, 13400 * time.Millisecond}, // still in its window
		{15 * time.Second, "k1", 1, Allow, 0},                               // over
	} {
		if v, wait := r.Check(c.after, "load", c.key, c.hash); v != c.want || wait != c.wait {
			t.Errorf("after %v key %s: verdict %d, wait %v", c.after, c.key, v, wait)
		}
	}
	if r.Remaining() != 0 {
		t.Errorf("%d loads are remembered past their windows", r.Remaining())
	}
}

func TestStoreKeepsPendingWrites(t *testing.T) {
	dir := t.TempDir()
	quiet := slog.New(slog.DiscardHandler)
	s, _, err := OpenStore(dir, quiet)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	for i := range uint64(3000) {
		for !s.Put(WriteSentRecord(testWrite(i, now))) {
			time.Sleep(time.Millisecond)
		}
		if i != 1234 {
			for !s.Put(WriteEndedRecord(i)) {
				time.Sleep(time.Millisecond)
			}
		}
	}
	s.Put(ModelStateRecord(now, []byte("abc")))
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if info, _ := os.Stat(filepath.Join(dir, "state")); info.Size() > 10*compactionMinSize {
		t.Errorf("%d bytes for one load", info.Size())
	}
	s, book, err := OpenStore(dir, quiet)
	if err != nil {
		t.Fatal(err)
	}
	data, age := book.ModelState(now.Add(time.Minute))
	if open := book.PendingWrites(Instant{Wall: now}); len(open) != 1 || open[0].ID != 1234 ||
		string(data) != "abc" ||
		age > 61*time.Second {
		t.Errorf("open %v, learnt %q of age %v", open, data, age)
	}
	s.Close()
}

// One operation: a load is sent and ends, each made durable; our log against bbolt, without sync on either
// side, and then with.
func BenchmarkDurable(b *testing.B) {
	for _, sync := range []bool{false, true} {
		b.Run(fmt.Sprintf("log/sync=%v", sync), func(b *testing.B) {
			l, _, err := Open(b.TempDir(), func(string) {})
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			if !sync {
				l.file = fileWithoutSync{l.file}
			}
			for i := uint64(0); b.Loop(); i++ {
				l.Append([]Record{WriteSentRecord(testWrite(i, t0))})
				l.Append([]Record{WriteEndedRecord(i)})
				if l.NeedsCompaction() {
					l.Rewrite(nil)
					if !sync {
						l.file = fileWithoutSync{l.file}
					}
				}
			}
		})
		b.Run(fmt.Sprintf("bbolt/sync=%v", sync), func(b *testing.B) {
			db, err := bbolt.Open(filepath.Join(b.TempDir(), "b"), 0o600, &bbolt.Options{NoSync: !sync})
			if err != nil {
				b.Fatal(err)
			}
			defer db.Close()
			db.Update(func(tx *bbolt.Tx) error { _, err := tx.CreateBucket([]byte("l")); return err })
			for i := uint64(0); b.Loop(); i++ {
				r := WriteSentRecord(testWrite(i, t0))
				db.Update(func(tx *bbolt.Tx) error {
					return tx.Bucket([]byte("l")).Put(r.Payload[:8],
						r.Payload[8:])
				})
				db.Update(func(tx *bbolt.Tx) error { return tx.Bucket([]byte("l")).Delete(r.Payload[:8]) })
			}
		})
	}
}

type fileWithoutSync struct{ File }

func (fileWithoutSync) Sync() error { return nil }

// BenchmarkOpen measures how long a return waits for its state: 10,000 loads that were sent and have ended,
// 100 that are out.
func BenchmarkOpen(b *testing.B) {
	dir := b.TempDir()
	l, _, err := Open(dir, func(string) {})
	if err != nil {
		b.Fatal(err)
	}
	now := time.Now()
	var records []Record
	for i := range uint64(10100) {
		if records = append(records, WriteSentRecord(testWrite(i, now))); i < 10000 {
			records = append(records, WriteEndedRecord(i))
		}
	}
	if err := l.Append(records); err != nil {
		b.Fatal(err)
	}
	size := l.durableSize
	l.Close()
	whole, _ := os.ReadFile(filepath.Join(dir, "state"))
	for b.Loop() {
		os.WriteFile(filepath.Join(dir, "state"), whole, 0o600)
		l, records, err := Open(dir, func(string) {})
		if err != nil {
			b.Fatal(err)
		}
		book := NewState()
		book.Apply(records)
		if len(book.PendingWrites(Instant{Wall: now})) != 100 {
			b.Fatal(len(book.PendingWrites(Instant{Wall: now})))
		}
		l.Close()
	}
	b.ReportMetric(float64(size)/1e6, "MB")
}
