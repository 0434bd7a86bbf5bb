package orphanedsession

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"cresspass/internal/goldentest"
)

// The stored JSON of a session does not change: this version reads what an earlier version wrote, and writes
// the same bytes.
func TestGoldenSession(t *testing.T) {
	session := Session{Engine: "127.0.0.1:7001", PID: 4711, Secret: []byte{1, 2, 250, 255},
		IncarnationName: "cresspass-3-0badcafe"}
	current, err := json.Marshal(session)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "session.json", current)
	stored := goldentest.Read(t, "session.json")
	var read Session
	if err := json.Unmarshal(stored, &read); err != nil || !reflect.DeepEqual(read, session) {
		t.Errorf("the stored session is read as %+v, %v", read, err)
	}
	withID := session
	withID.ID = 9 // the ID of the record, not part of its body
	if body, err := json.Marshal(withID); err != nil || !bytes.Equal(body, stored) {
		t.Errorf("a session with an ID is stored as %s, %v", body, err)
	}
}
