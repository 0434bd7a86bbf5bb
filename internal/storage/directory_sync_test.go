package storage

import (
	"log/slog"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// plannedDirectorySync makes syncs of directories return planned results, and after them does real syncs.
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

// Guards against acknowledging records in a log whose rename a power cut may undo.
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

// Guards against sending a write whose record a power cut could still remove.
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
			t.Fatal("the failing sync of the directory was not retried 3 times within 10 s")
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

// Guards against reporting a rewrite as durable when the directory cannot be opened.
func TestDirectoryThatCannotBeOpened(t *testing.T) {
	if syncDirectory(filepath.Join(t.TempDir(), "none")) == nil {
		t.Error("syncing a directory that does not exist succeeded")
	}
}
