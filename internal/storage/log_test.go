package storage

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.etcd.io/bbolt"
)

// openLog opens a log and returns it with its records and the lines that were logged.
func openLog(t *testing.T, dir string) (*Log, []Record, []string) {
	t.Helper()
	var logged bytes.Buffer
	l, records, err := Open(dir, slog.New(slog.NewTextHandler(&logged, nil)))
	if err != nil {
		t.Fatal(err)
	}
	return l, records, slices.Collect(strings.Lines(logged.String()))
}

func closeLog(t *testing.T, l *Log) {
	t.Helper()
	if err := l.Close(); err != nil {
		t.Error(err)
	}
}

// Guards against losing or inventing records after a power cut. Wherever the file is truncated, exactly the
// records before the cut are read, and the log can be appended to. A flipped bit loses at most the records
// from that position on.
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
	closeLog(t, l)
	path := filepath.Join(dir, "state")
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
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
			if err := os.WriteFile(path, b, 0o600); err != nil {
				t.Fatal(err)
			}
			if err := os.Remove(path + ".damaged"); err != nil && !os.IsNotExist(err) {
				t.Fatal(err)
			}
			l, got, logged := openLog(t, dir)
			readable := 0
			for readable < len(ends) && ends[readable] <= n {
				readable++
			}
			if n < len(encodeHeader()) {
				readable = 0
				if _, err := os.Stat(path + ".damaged"); err != nil || len(logged) == 0 {
					t.Fatalf("cut at %d, flip %v: a file with a damaged header was not set aside", n, flip)
				}
			}
			if len(got) != readable || readable > 0 && !reflect.DeepEqual(got, want[:readable]) {
				t.Fatalf("cut at %d, flip %v: %d records, want %d", n, flip, len(got), readable)
			}
			if err := l.Append([]Record{CleanShutdownRecord()}); err != nil {
				t.Fatal(err)
			}
			closeLog(t, l)
			l, got, logged = openLog(t, dir)
			if len(got) != readable+1 || len(logged) > 0 {
				t.Fatalf("cut at %d: after an append %d records, logged %v", n, len(got), logged)
			}
			closeLog(t, l)
		}
	}
}

func TestDirectoryIsLockedByOneProcess(t *testing.T) {
	dir := t.TempDir()
	l, _, _ := openLog(t, dir)
	if _, _, err := Open(dir, slog.New(slog.DiscardHandler)); !errors.Is(err, ErrLocked) {
		t.Errorf("opening a locked directory: %v", err)
	}
	closeLog(t, l)
	l, _, _ = openLog(t, dir)
	closeLog(t, l)
}

func TestDiskFull(t *testing.T) {
	dir := t.TempDir()
	l, _, _ := openLog(t, dir)
	disk := &fullDisk{File: l.file, capacity: 200}
	l.file = disk
	appended := 0
	for i := range uint64(20) {
		err := l.Append([]Record{WriteSentRecord(testWrite(i, t0))})
		if err == nil {
			appended++
		} else if disk.capacity = 0; i == 10 {
			disk.capacity = 1 << 20 // there is space again
		}
	}
	if err := l.Rewrite(nil); err != nil {
		t.Fatal(err)
	}
	closeLog(t, l)
	l, got, logged := openLog(t, dir)
	if len(got) != 0 || len(logged) != 0 {
		t.Errorf("%d records, logged %v", len(got), logged)
	}
	l.file = &fullDisk{File: l.file, capacity: 100}
	if l.Append([]Record{WriteSentRecord(testWrite(1, t0))}) == nil &&
		l.Append([]Record{WriteSentRecord(testWrite(2, t0))}) == nil {
		t.Error("two records of 150 bytes were written to a disk with room for 100")
	}
	closeLog(t, l)
	if l, _, logged = openLog(t, dir); len(logged) != 0 {
		t.Errorf("a partial record was left in the log: %v", logged)
	}
	closeLog(t, l)
	if appended == 0 || appended == 20 {
		t.Errorf("%d of 20 records were appended, want some but not all", appended)
	}
}

// A record whose append was acknowledged is read after a restart, whichever disk calls fail in between.
func TestAcknowledgedRecordsSurviveDiskFaults(t *testing.T) {
	var none error
	for name, disk := range map[string]faultyFileStub{
		"a sync fails, then a write": {syncs: []error{none, syscall.EIO},
			writes: []error{none, none, none, syscall.ENOSPC}},
		"a write fails, and its truncate": {writes: []error{none, syscall.ENOSPC},
			truncates: []error{syscall.EIO}},
		"a write and its sync fail": {writes: []error{none, syscall.ENOSPC},
			syncs: []error{none, syscall.EIO}},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			l, _, _ := openLog(t, dir)
			disk.File = l.file
			l.file = &disk
			var acknowledged []uint64
			for id := range uint64(6) {
				if l.Append([]Record{WriteSentRecord(testWrite(id, t0))}) == nil {
					acknowledged = append(acknowledged, id)
				}
			}
			closeLog(t, l)
			l, records, _ := openLog(t, dir)
			defer closeLog(t, l)
			state := NewState()
			state.Apply(records)
			var read []uint64
			for _, known := range state.PendingWrites(Instant{Wall: t0}) {
				read = append(read, known.ID)
			}
			slices.Sort(read)
			for _, id := range acknowledged {
				if !slices.Contains(read, id) {
					t.Errorf("acknowledged %v, read after the restart %v", acknowledged, read)
					break
				}
			}
		})
	}
}

// BenchmarkDurable measures the two records of one write, sent and ended, each appended durably. It compares
// this log with bbolt, both without and with sync.
func BenchmarkDurable(b *testing.B) {
	for _, sync := range []bool{false, true} {
		b.Run(fmt.Sprintf("log/sync=%v", sync), func(b *testing.B) {
			l, _, err := Open(b.TempDir(), slog.New(slog.DiscardHandler))
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			if !sync {
				l.file = fileWithoutSync{l.file}
			}
			for i := uint64(0); b.Loop(); i++ {
				if err := l.Append([]Record{WriteSentRecord(testWrite(i, t0))}); err != nil {
					b.Fatal(err)
				}
				if err := l.Append([]Record{WriteEndedRecord(i)}); err != nil {
					b.Fatal(err)
				}
				if l.NeedsCompaction() {
					if err := l.Rewrite(nil); err != nil {
						b.Fatal(err)
					}
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
			update := func(change func(tx *bbolt.Tx) error) {
				if err := db.Update(change); err != nil {
					b.Fatal(err)
				}
			}
			update(func(tx *bbolt.Tx) error { _, err := tx.CreateBucket([]byte("l")); return err })
			for i := uint64(0); b.Loop(); i++ {
				r := WriteSentRecord(testWrite(i, t0))
				update(func(tx *bbolt.Tx) error {
					return tx.Bucket([]byte("l")).Put(r.Payload[:8], r.Payload[8:])
				})
				update(func(tx *bbolt.Tx) error { return tx.Bucket([]byte("l")).Delete(r.Payload[:8]) })
			}
		})
	}
}

// BenchmarkOpen measures how long a restart waits for its state, with 10,000 writes that were sent and have
// ended, and 100 whose outcome is unknown.
func BenchmarkOpen(b *testing.B) {
	dir := b.TempDir()
	l, _, err := Open(dir, slog.New(slog.DiscardHandler))
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
	if err := l.Close(); err != nil {
		b.Fatal(err)
	}
	path := filepath.Join(dir, "state")
	whole, err := os.ReadFile(path)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if err := os.WriteFile(path, whole, 0o600); err != nil {
			b.Fatal(err)
		}
		l, records, err := Open(dir, slog.New(slog.DiscardHandler))
		if err != nil {
			b.Fatal(err)
		}
		state := NewState()
		state.Apply(records)
		if len(state.PendingWrites(Instant{Wall: now})) != 100 {
			b.Fatal(len(state.PendingWrites(Instant{Wall: now})))
		}
		if err := l.Close(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size)/1e6, "MB")
}
