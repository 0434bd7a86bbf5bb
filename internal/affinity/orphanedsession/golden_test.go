package orphanedsession

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// The form in which a session is stored in the state log: an earlier version's is read, and this version
// writes the same bytes. UPDATE_GOLDEN has the file written again.
func TestGoldenSession(t *testing.T) {
	session := Session{Engine: "127.0.0.1:7001", PID: 4711, Secret: []byte{1, 2, 250, 255},
		IncarnationName: "cresspass-3-0badcafe"}
	current, err := json.Marshal(session)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join("testdata", "session.json")
	if os.Getenv("UPDATE_GOLDEN") != "" {
		if err := os.WriteFile(path, current, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	stored, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(current, stored) {
		t.Errorf("a session is stored as %s, want %s", current, stored)
	}
	var read Session
	if err := json.Unmarshal(stored, &read); err != nil || !reflect.DeepEqual(read, session) {
		t.Errorf("the stored session is read as %+v, %v", read, err)
	}
	withID := session
	withID.ID = 9 // the record's key, not part of its body
	if body, err := json.Marshal(withID); err != nil || !bytes.Equal(body, stored) {
		t.Errorf("a session with an ID is stored as %s, %v", body, err)
	}
}
