package storage

import (
	"log/slog"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

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
	if info, err := os.Stat(filepath.Join(dir, "state")); err != nil {
		t.Error(err)
	} else if info.Size() > 10*compactionMinSize {
		t.Errorf("the log has %d bytes for one pending write", info.Size())
	}
	s, state, err := OpenStore(dir, quiet)
	if err != nil {
		t.Fatal(err)
	}
	data, age := state.ModelState(now.Add(time.Minute))
	if pending := state.PendingWrites(Instant{Wall: now}); len(pending) != 1 || pending[0].ID != 1234 ||
		string(data) != "abc" || age > 61*time.Second {
		t.Errorf("pending %v, model state %q of age %v", pending, data, age)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

// Records that a failing disk did not store are written once the disk works again, even if no other record
// follows. Only then is a record reported as durable.
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
		t.Fatal("the record was not durable within 10 s")
	}
	records, err := ReadUnlocked(dir)
	if err != nil || len(records) != 1 {
		t.Errorf("the record is reported as durable, but the log has %d records, %v", len(records), err)
	}
	if _, failed := s.Counts(); failed == 0 {
		t.Error("no write failed")
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

// A directory is opened with its records even if its disk cannot be written yet. All records are stored once
// the disk works.
func TestOpenStoreOnFailingDisk(t *testing.T) {
	dir := t.TempDir()
	l, _, _ := openLog(t, dir)
	if err := l.Append([]Record{WriteSentRecord(testWrite(1, t0))}); err != nil {
		t.Fatal(err)
	}
	closeLog(t, l)
	failures := 3
	newFile = func(path string) (File, error) {
		f, err := create(path)
		if failures--; err == nil && failures >= 0 {
			return &faultyFileStub{File: f, writes: []error{syscall.ENOSPC}}, nil
		}
		return f, err
	}
	defer func() { newFile = create }()
	s, state, err := OpenStore(dir, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if pending := state.PendingWrites(Instant{Wall: t0}); len(pending) != 1 {
		t.Errorf("%d writes are remembered, want 1", len(pending))
	}
	<-s.PutDurable(WriteSentRecord(testWrite(2, t0)))
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	l, records, _ := openLog(t, dir)
	defer closeLog(t, l)
	if len(records) != 2 {
		t.Errorf("%d records, want 2", len(records))
	}
}
