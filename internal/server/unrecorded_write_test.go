package server

import (
	"log/slog"
	"testing"
)

// TestUnrecordedWritesAreCounted guards against writes that are sent before their record is durable without
// being counted.
func TestUnrecordedWritesAreCounted(t *testing.T) {
	s := &Server{log: slog.New(slog.DiscardHandler)}
	durable := make(chan struct{})
	close(durable)
	started := make(chan struct{}, 4)
	start := func() { started <- struct{}{} }
	s.afterDurable(noWriteRecord, nil, start)
	s.afterDurable(1, durable, start)
	s.background.Wait()
	if got := s.UnrecordedWrites(); got != 0 {
		t.Errorf("%d writes counted, want 0: none was sent before its record", got)
	}
	s.afterDurable(2, nil, start)                 // the record is dropped
	s.afterDurable(3, make(chan struct{}), start) // the record does not become durable
	s.background.Wait()
	if got := s.UnrecordedWrites(); got != 2 || len(started) != 4 {
		t.Errorf("%d writes counted, want 2; %d of 4 attempts started", got, len(started))
	}
}
