package thrift

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// checkGolden compares a frame with the recorded bytes of testdata/golden; UPDATE_GOLDEN=1 records it.
func checkGolden(t *testing.T, name string, frame []byte) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name+".bin")
	if os.Getenv("UPDATE_GOLDEN") != "" {
		if err := os.WriteFile(path, frame, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(frame, want) {
		t.Errorf("%s:\n got %x\nwant %x", name, frame, want)
	}
}

// TestGoldenFrames: each message is encoded to the recorded bytes, so that clients and dispatchers of other
// versions read it.
func TestGoldenFrames(t *testing.T) {
	for name, frame := range map[string][]byte{
		"dispatch_call": AppendDispatch(nil, 7, [][2]string{{"verb", "report"}, {"txn", "00ff00ff00ff00ff"},
			{"limit", "1500"}, {"unique", "0123456789abcdef0123456789abcdef"}}, []byte("SELECT 1")),
		"cancel_oneway":    AppendCancel(nil, 9, 7),
		"alive_call":       AppendAlive(nil, 2),
		"dispatch_result":  AppendAnswer(nil, "dispatch", 7, true, []byte("1\ta\tb\n"), []byte("2\tc\td\n")),
		"dispatch_empty":   AppendAnswer(nil, "dispatch", 7, true),
		"alive_true":       AppendAnswer(nil, "alive", 2, true),
		"alive_false":      AppendAnswer(nil, "alive", 2, false),
		"shed_later":       AppendDeclaredException(nil, "dispatch", 7, ShedException, [2]string{"later", "250"}),
		"shed":             AppendDeclaredException(nil, "dispatch", 7, ShedException),
		"fault_reason":     AppendDeclaredException(nil, "dispatch", 7, FaultException, [2]string{"reason", "no statement"}),
		"unknown_method":   AppendApplicationException(nil, "select", 3, 1, "unknown method"),
		"protocol_error":   AppendApplicationException(nil, "dispatch", 4, 7, "thrift: message ends inside a value"),
		"append_to_others": AppendAlive([]byte("earlier bytes"), 2),
	} {
		checkGolden(t, name, frame)
	}
}

// TestGoldenRequests: the recorded requests are read with the values that they were written with.
func TestGoldenRequests(t *testing.T) {
	read := func(name string) Request {
		frame, err := os.ReadFile(filepath.Join("testdata", "golden", name+".bin"))
		if err != nil {
			t.Fatal(err)
		}
		r, err := ParseRequest(frame[FrameHeaderBytes:])
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		return r
	}
	r := read("dispatch_call")
	if r.Type != Call || r.Name != "dispatch" || r.Seq != 7 || string(r.Body) != "SELECT 1" ||
		len(r.Fields) != 4 || r.Fields["verb"] != "report" || r.Fields["txn"] != "00ff00ff00ff00ff" ||
		r.Fields["limit"] != "1500" || r.Fields["unique"] != "0123456789abcdef0123456789abcdef" {
		t.Errorf("dispatch: %+v", r)
	}
	r = read("cancel_oneway")
	if r.Type != Oneway || r.Name != "cancelRequest" || r.Seq != 9 || r.CancelSeq != 7 {
		t.Errorf("cancel: %+v", r)
	}
	if r = read("alive_call"); r.Type != Call || r.Name != "alive" || r.Seq != 2 {
		t.Errorf("alive: %+v", r)
	}
}
