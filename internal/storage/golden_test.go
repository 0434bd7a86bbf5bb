package storage

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"cresspass/internal/affinity/orphanedsession"
	"cresspass/internal/goldentest"
)

// The files under testdata were written by earlier builds. A build that cannot read them, or that writes
// other bytes for the same values, is incompatible with the state directories of running dispatchers.

// goldenTime has a time zone and fractions of a second, as the wall clock does.
var goldenTime = time.Date(2026, 1, 5, 9, 0, 0, 123456789, time.FixedZone("", 3600))

const goldenBoot = "3e1c0b1a-7b5a-4c8e-9a53-1f2d3c4b5a69"

var goldenWrites = []WriteAttempt{
	{ID: 0x1122334455667788, Class: "load", Key: "repo-7", Hash: 18446744073709551615,
		Engine: "127.0.0.1:7001", SentAt: goldenTime, BootID: goldenBoot, SentSinceBoot: 90 * time.Minute,
		Window: 15 * time.Second, AllEngines: true},
	// Without an ordering key, and with an unknown boot.
	{ID: 2, Class: "write", Engine: "127.0.0.1:7002", Hash: 9, SentAt: goldenTime.Add(time.Second).UTC(),
		Window: 500 * time.Millisecond},
	{ID: 3, Class: "write", Engine: "127.0.0.1:7002", Hash: 10, SentAt: goldenTime, Window: time.Minute},
}

var goldenSessions = []orphanedsession.Session{
	{ID: 41, Engine: "127.0.0.1:7001", PID: 4294967295, Secret: []byte{0, 1, 2, 255},
		IncarnationName: "cresspass-0-1badcafe"},
	{ID: 42, Engine: "127.0.0.1:7002", PID: 17, IncarnationName: "cresspass-0-2badcafe"},
}

// goldenRecords returns the records of a dispatcher that was killed. All kinds but kindCleanShutdown occur.
func goldenRecords() []Record {
	return []Record{
		IncarnationNameRecord("cresspass-0-1badcafe"), IncarnationNumberRecord(1767600000123456789),
		ModelStateRecord(goldenTime, []byte("\x00model state\xff")),
		StickySessionRecord(goldenSessions[0]), WriteSentRecord(goldenWrites[0]),
		WriteSentRecord(goldenWrites[1]), WriteSentRecord(goldenWrites[2]),
		WriteEndedRecord(goldenWrites[2].ID), SessionReleasedRecord(goldenSessions[0].ID),
		IncarnationNameRecord("cresspass-0-2badcafe"), OrphansCleanedRecord(),
		StickySessionRecord(goldenSessions[1]), IncarnationNumberRecord(1767600000123456790),
	}
}

// openGolden opens a directory whose log has the given bytes.
func openGolden(t *testing.T, stored []byte) []Record {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "state"), stored, 0o600); err != nil {
		t.Fatal(err)
	}
	l, records, logged := openLog(t, dir)
	if err := l.Close(); err != nil {
		t.Error(err)
	}
	if len(logged) > 0 {
		t.Errorf("opening an undamaged log logged %v", logged)
	}
	return records
}

// The bytes of a stored log do not change: the current encoder writes the same bytes, and the current decoder
// reads them.
func TestGoldenLog(t *testing.T) {
	want := goldenRecords()
	written := encodeHeader()
	for _, r := range want {
		written = appendRecord(written, r)
	}
	goldentest.Compare(t, "log-killed.bin", written)
	stored := goldentest.Read(t, "log-killed.bin")
	records := openGolden(t, stored)
	same := func(a, b Record) bool { return a.Kind == b.Kind && bytes.Equal(a.Payload, b.Payload) }
	if !slices.EqualFunc(records, want, same) {
		t.Fatalf("read %v, want %v", records, want)
	}
	state := NewState()
	if unreadable := state.Apply(records); unreadable != 0 {
		t.Errorf("%d records were not read", unreadable)
	}
	now := Instant{Wall: goldenTime.Add(time.Second), BootID: goldenBoot,
		SinceBoot: 90*time.Minute + time.Second}
	pending := state.PendingWrites(now)
	if len(pending) != 2 {
		t.Fatalf("pending writes: %+v", pending)
	}
	for i, got := range pending {
		want := goldenWrites[i]
		if !got.SentAt.Equal(want.SentAt) && want.BootID != "" {
			t.Errorf("sent at %v, want %v", got.SentAt, want.SentAt)
		}
		got.SentAt, want.SentAt = time.Time{}, time.Time{}
		if want.BootID == "" { // its boot is not known, so it counts as sent now
			want.BootID, want.SentSinceBoot = now.BootID, now.SinceBoot
		}
		if got != want {
			t.Errorf("read %+v, want %+v", got, want)
		}
	}
	sessions := state.StickySessions()
	if len(sessions) != 1 || !reflect.DeepEqual(sessions[0], goldenSessions[1]) {
		t.Errorf("sessions: %+v", sessions)
	}
	if names := state.IncarnationNames(); !reflect.DeepEqual(names, []string{"cresspass-0-2badcafe"}) {
		t.Errorf("names: %q", names)
	}
	data, age := state.ModelState(goldenTime.Add(time.Minute))
	if string(data) != "\x00model state\xff" || age.Truncate(time.Millisecond) != time.Minute {
		t.Errorf("model state %q of age %v", data, age)
	}
	if state.LastIncarnation() != 1767600000123456790 || state.CleanShutdown() {
		t.Errorf("number %d, clean %v", state.LastIncarnation(), state.CleanShutdown())
	}
}

// A rewritten log holds the fewest records that keep the state, in this order.
func TestGoldenRewrittenLog(t *testing.T) {
	state := NewState()
	state.Apply(goldenRecords())
	written := encodeHeader()
	for _, r := range state.Compacted(Instant{Wall: goldenTime, BootID: goldenBoot,
		SinceBoot: 90*time.Minute + time.Second}) {
		written = appendRecord(written, r)
	}
	goldentest.Compare(t, "log-rewritten.bin", written)
	stored := goldentest.Read(t, "log-rewritten.bin")
	restored := NewState()
	if unreadable := restored.Apply(openGolden(t, stored)); unreadable != 0 {
		t.Errorf("%d records were not read", unreadable)
	}
	if len(restored.PendingWrites(Instant{Wall: goldenTime})) != 2 || len(restored.StickySessions()) != 1 ||
		len(restored.IncarnationNames()) != 1 || restored.LastIncarnation() != 1767600000123456790 {
		t.Errorf("read %+v", restored)
	}
}

// After a clean shutdown no sessions are left, but the writes without a known outcome are.
func TestGoldenStoppedLog(t *testing.T) {
	written := encodeHeader()
	for _, r := range append(goldenRecords(), CleanShutdownRecord()) {
		written = appendRecord(written, r)
	}
	goldentest.Compare(t, "log-stopped.bin", written)
	stored := goldentest.Read(t, "log-stopped.bin")
	state := NewState()
	if unreadable := state.Apply(openGolden(t, stored)); unreadable != 0 {
		t.Errorf("%d records were not read", unreadable)
	}
	if !state.CleanShutdown() || len(state.StickySessions()) != 0 || len(state.IncarnationNames()) != 0 ||
		len(state.PendingWrites(Instant{Wall: goldenTime})) != 2 {
		t.Errorf("read %+v", state)
	}
}

// The numbers of the kinds are stored in logs and must not change.
func TestGoldenKinds(t *testing.T) {
	for want, r := range map[Kind]Record{
		1: WriteSentRecord(WriteAttempt{}),
		2: WriteEndedRecord(1),
		3: ModelStateRecord(goldenTime, nil),
		4: CleanShutdownRecord(),
		5: IncarnationNameRecord("x"),
		6: StickySessionRecord(orphanedsession.Session{}),
		7: SessionReleasedRecord(1),
		8: OrphansCleanedRecord(),
		9: IncarnationNumberRecord(1),
	} {
		if r.Kind != want {
			t.Errorf("kind %d, want %d: %q", r.Kind, want, r.Payload)
		}
	}
}

// Records of builds that did not store the boot clock yet are read. Of records of later builds, unknown
// fields are ignored, and unknown kinds are counted as unreadable.
func TestGoldenOldAndLaterRecords(t *testing.T) {
	id := []byte{7, 0, 0, 0, 0, 0, 0, 0}
	old := `{"class":"load","key":"k","hash":5,"engine":"e","at":"2026-01-05T08:00:00Z",` +
		`"window":15000000000,"all":true}`
	later := `{"class":"load","key":"k","hash":6,"engine":"e","at":"2026-01-05T08:00:00Z",` +
		`"boot":"b","up":1000000000,"window":15000000000,"all":false,"later":[1]}`
	session := `{"engine":"e","pid":3,"secret":"AAEC/w==","life":"cresspass-0-1","later":1}`
	written := encodeHeader()
	for _, r := range []Record{{1, append(bytes.Clone(id), old...)},
		{1, append([]byte{8, 0, 0, 0, 0, 0, 0, 0}, later...)}, {6, append(bytes.Clone(id), session...)},
		{200, []byte("later")}, {1, append(bytes.Clone(id), "{"...)}} {
		written = appendRecord(written, r)
	}
	goldentest.Compare(t, "log-old-and-later.bin", written)
	stored := goldentest.Read(t, "log-old-and-later.bin")
	state := NewState()
	if unreadable := state.Apply(openGolden(t, stored)); unreadable != 2 {
		t.Errorf("%d records were not read, want 2", unreadable)
	}
	at := time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	pending := state.PendingWrites(Instant{Wall: at})
	want := []WriteAttempt{
		{
			ID:         7,
			Class:      "load",
			Key:        "k",
			Hash:       5,
			Engine:     "e",
			SentAt:     at,
			Window:     15 * time.Second,
			AllEngines: true,
		},
		{ID: 8, Class: "load", Key: "k", Hash: 6, Engine: "e", SentAt: at, Window: 15 * time.Second}}
	if !reflect.DeepEqual(pending, want) {
		t.Errorf("read %+v, want %+v", pending, want)
	}
	sessions := []orphanedsession.Session{{ID: 7, Engine: "e", PID: 3, Secret: []byte{0, 1, 2, 255},
		IncarnationName: "cresspass-0-1"}}
	if !reflect.DeepEqual(state.StickySessions(), sessions) {
		t.Errorf("read %+v, want %+v", state.StickySessions(), sessions)
	}
}

// The keys of the stored JSON do not change.
func TestGoldenJSON(t *testing.T) {
	for _, c := range []struct {
		name  string
		value any
	}{{"write.json", goldenWrites[0]}, {"write-unknown-boot.json", goldenWrites[1]},
		{"session.json", goldenSessions[0]}} {
		written, err := json.Marshal(c.value)
		if err != nil {
			t.Fatal(err)
		}
		goldentest.Compare(t, c.name, written)
	}
}

// The names of the files in a state directory do not change.
func TestGoldenFileNames(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "state"), []byte("cresspass state\x02\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	s, _, err := OpenStore(dir, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	s.Put(CleanShutdownRecord())
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	if !reflect.DeepEqual(names, []string{"lock", "state", "state.damaged"}) {
		t.Errorf("files %q", names)
	}
}
