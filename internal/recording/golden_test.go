package recording

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"testing"
	"time"

	"cresspass/internal/goldentest"
)

// goldenEntries returns entries that set every field, and one of zeros.
func goldenEntries() []Entry {
	return []Entry{
		{},
		{
			ArrivedAt:   1500 * time.Microsecond,
			Elapsed:     20 * time.Millisecond,
			Class:       "report",
			Tenant:      "alu",
			Dispatcher:  "d1",
			Fingerprint: 0x0123456789abcdef,
			Key:         42,
			Cost:        300 * time.Millisecond,
			Threads:     2.5,
			Outcome:     Rejected,
			IsRetry:     true,
			IsWrite:     true,
		},
		{
			ArrivedAt:   2 * time.Second,
			Elapsed:     time.Minute,
			Class:       "report",
			Dispatcher:  "d2",
			Fingerprint: 7,
			Threads:     1,
			Outcome:     Abandoned,
		},
		{
			ArrivedAt:  3 * time.Second,
			Elapsed:    time.Second,
			Class:      "load",
			Tenant:     "bor",
			Dispatcher: "d1",
			Outcome:    Failed,
			IsWrite:    true,
		},
	}
}

// TestGoldenRecording reads a recording that an earlier version wrote, and writes the same bytes.
func TestGoldenRecording(t *testing.T) {
	const file = "golden.rec"
	start := time.UnixMicro(1764600000123456)
	written := AppendBlock(AppendHeader(nil, Header{Start: start}), goldenEntries())
	goldentest.Compare(t, file, written)
	golden := goldentest.Read(t, file)
	r, err := NewReader(bytes.NewReader(golden))
	if err != nil || !r.Header.Start.Equal(start) {
		t.Fatalf("header: %v, %v", r, err)
	}
	entries, err := r.Next()
	if err != nil || !reflect.DeepEqual(entries, goldenEntries()) {
		t.Errorf("read %+v, %v, want %+v", entries, err, goldenEntries())
	}
	if _, err := r.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("after the last block: %v, want EOF", err)
	}
}
