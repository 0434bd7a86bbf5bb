package storage

import (
	"log/slog"
	"slices"
	"syscall"
	"testing"
	"time"
)

// faultyFileStub is a disk whose calls fail as planned: one plan entry for each call of its kind, nil for
// none.
type faultyFileStub struct {
	File
	writes, syncs, truncates []error
}

func nextPlanned(plan *[]error) error {
	if len(*plan) == 0 {
		return nil
	}
	err := (*plan)[0]
	*plan = (*plan)[1:]
	return err
}

func (f *faultyFileStub) Write(b []byte) (int, error) {
	if err := nextPlanned(&f.writes); err != nil {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, err
	}
	return f.File.Write(b)
}

func (f *faultyFileStub) Sync() error {
	if err := nextPlanned(&f.syncs); err != nil {
		return err
	}
	return f.File.Sync()
}

func (f *faultyFileStub) Truncate(size int64) error {
	if err := nextPlanned(&f.truncates); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

// TestAcknowledgedRecordsSurviveDiskFaults: whatever calls of the disk fail between, a record whose append
// was acknowledged is read after a restart.
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
			l.Close()
			l, records, _ := openLog(t, dir)
			defer l.Close()
			book := NewState()
			book.Apply(records)
			var read []uint64
			for _, known := range book.PendingWrites(Instant{Wall: t0}) {
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

// TestPendingRecordsAreWrittenOnceTheDiskRecovers: what a failing disk did not take is written when it is
// well again, without another record; whoever waits for a record is told only then.
func TestPendingRecordsAreWrittenOnceTheDiskRecovers(t *testing.T) {
	dir := t.TempDir()
	l, _, _ := openLog(t, dir)
	l.file = &faultyFileStub{
		File:      l.file,
		writes:    []error{syscall.ENOSPC, syscall.ENOSPC},
		truncates: []error{syscall.EIO},
		syncs:     []error{syscall.EIO},
	}
	s := &Store{
		log:    l,
		state:  NewState(),
		logger: slog.New(slog.DiscardHandler),
		queue:  make(chan queuedRecord, 8),
		done:   make(chan struct{}),
	}
	go s.run()
	durable := s.PutDurable(WriteSentRecord(testWrite(1, t0)))
	select {
	case <-durable:
	case <-time.After(10 * time.Second):
		t.Fatal("the record was never durable")
	}
	records, err := ReadUnlocked(dir)
	if err != nil || len(records) != 1 {
		t.Errorf("told that it is durable, and %d records are there, %v", len(records), err)
	}
	if _, failed := s.Counts(); failed == 0 {
		t.Error("no write failed")
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

// TestWindowsIgnoreWallClockSteps: a wall clock that steps between two lives of a process shortens no
// window; after another boot of the machine nobody knows what has passed, and the whole window counts.
func TestWindowsIgnoreWallClockSteps(t *testing.T) {
	sent := Instant{Wall: t0, BootID: "one", SinceBoot: time.Hour}
	l := testWrite(1, sent.Wall)
	l.BootID, l.SentSinceBoot = sent.BootID, sent.SinceBoot
	book := NewState()
	book.Apply([]Record{WriteSentRecord(l)})
	for _, c := range []struct {
		back Instant
		want Decision
		wait time.Duration
	}{
		{Instant{t0.Add(time.Hour), "one", time.Hour + time.Second}, Reject, 14 * time.Second},
		{Instant{t0.Add(-time.Hour), "one", time.Hour + time.Second}, Reject, 14 * time.Second},
		{Instant{t0.Add(-time.Hour), "one", time.Hour + time.Minute}, Allow, 0},
		{Instant{t0.Add(time.Hour), "two", time.Second}, Reject, 15 * time.Second},
	} {
		if v, wait := NewRecoveryGuard(book, c.back, 0).Check(0, l.Class, "", l.Hash); v != c.want ||
			wait != c.wait {
			t.Errorf("back at %+v: verdict %d, wait %v; want %d, %v", c.back, v, wait, c.want, c.wait)
		}
	}
}

// TestOpenStoreOnFailingDisk: a folder whose disk takes nothing yet is opened all the same, with what it
// holds, and the disk has all of it once it is well.
func TestOpenStoreOnFailingDisk(t *testing.T) {
	dir := t.TempDir()
	l, _, _ := openLog(t, dir)
	if err := l.Append([]Record{WriteSentRecord(testWrite(1, t0))}); err != nil {
		t.Fatal(err)
	}
	l.Close()
	fails := 3
	newFile = func(path string) (File, error) {
		f, err := create(path)
		if fails--; err == nil && fails >= 0 {
			return &faultyFileStub{File: f, writes: []error{syscall.ENOSPC}}, nil
		}
		return f, err
	}
	defer func() { newFile = create }()
	s, book, err := OpenStore(dir, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if open := book.PendingWrites(Instant{Wall: t0}); len(open) != 1 {
		t.Errorf("%d loads are remembered, want 1", len(open))
	}
	<-s.PutDurable(WriteSentRecord(testWrite(2, t0)))
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	l, records, _ := openLog(t, dir)
	defer l.Close()
	if len(records) != 2 {
		t.Errorf("%d records, want 2", len(records))
	}
}
