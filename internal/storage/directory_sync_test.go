package storage

import (
	"log/slog"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// plannedDirectorySync replaces the syncs of directories by planned results, and real syncs after them.
func plannedDirectorySync(t *testing.T, plan ...error) {
	t.Helper()
	newDirectorySync = func(dir string) error {
		if err := nextPlanned(&plan); err != nil {
			return err
		}
		return syncDirectory(dir)
	}
	t.Cleanup(func() { newDirectorySync = syncDirectory })
}

// Guards against records that are acknowledged in a log whose name a power cut takes away.
func TestNothingIsAppendedBeforeTheNameIsDurable(t *testing.T) {
	plannedDirectorySync(t, syscall.EIO, syscall.EIO)
	l, _, _ := openLog(t, t.TempDir())
	defer closeLog(t, l)
	record := []Record{WriteSentRecord(testWrite(1, t0))}
	if !l.NeedsRewrite() || l.Append(record) == nil {
		t.Error("appended to a log whose directory was not synced when it was opened")
	}
	if l.Rewrite(record) == nil || !l.NeedsRewrite() || l.Append(record) == nil {
		t.Error("appended to a log whose directory was not synced when it was rewritten")
	}
	if err := l.Rewrite(record); err != nil || l.NeedsRewrite() {
		t.Errorf("rewritten on a disk that works: %v", err)
	}
	if err := l.Append(record); err != nil {
		t.Error(err)
	}
}

// Guards against a waiting write that is sent although a power cut would take its record away.
func TestStoreAcknowledgesOnceTheNameIsDurable(t *testing.T) {
	failing := true
	released := make(chan struct{})
	newDirectorySync = func(dir string) error {
		select {
		case <-released:
			failing = false
		default:
		}
		if failing {
			return syscall.EIO
		}
		return syncDirectory(dir)
	}
	t.Cleanup(func() { newDirectorySync = syncDirectory })
	s, _, err := OpenStore(t.TempDir(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	durable := s.PutDurable(WriteSentRecord(testWrite(1, t0)))
	begin := time.Now()
	for _, failed := s.Counts(); failed < 3; _, failed = s.Counts() {
		if time.Since(begin) > 10*time.Second {
			t.Fatal("the directory's failing sync is not tried again")
		}
		time.Sleep(time.Millisecond)
	}
	select {
	case <-durable:
		t.Error("acknowledged while the directory cannot be synced")
	default:
	}
	close(released)
	<-durable
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

// Guards against a rewrite that is reported as durable where the directory cannot be opened.
func TestDirectoryThatCannotBeOpened(t *testing.T) {
	if syncDirectory(filepath.Join(t.TempDir(), "none")) == nil {
		t.Error("the sync of a directory that is not there succeeds")
	}
}
