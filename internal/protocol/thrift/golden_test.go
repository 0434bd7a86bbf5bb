package thrift

import (
	"testing"

	"cresspass/internal/goldentest"
)

// TestGoldenFrames checks that each message is encoded to the recorded bytes, so that clients and dispatchers
// of other versions can decode it.
func TestGoldenFrames(t *testing.T) {
	rows := [][]byte{[]byte("1\ta\tb\n"), []byte("2\tc\td\n")}
	later, reason := Fields{{"later", "250"}}, Fields{{"reason", "no statement"}}
	for name, frame := range map[string][]byte{
		"dispatch_call": Dispatch{
			Fields: Fields{{"verb", "report"}, {"txn", "00ff00ff00ff00ff"}, {"limit", "1500"},
				{"unique", "0123456789abcdef0123456789abcdef"}},
			Body: []byte("SELECT 1"),
		}.Append(nil, 7),
		"cancel_oneway":   CancelRequest{TargetSeq: 7}.Append(nil, 9),
		"alive_call":      Alive{}.Append(nil, 2),
		"dispatch_result": Answer{Method: MethodDispatch, Good: true, Body: rows}.Append(nil, 7),
		"dispatch_empty":  Answer{Method: MethodDispatch, Good: true}.Append(nil, 7),
		"alive_true":      Answer{Method: MethodAlive, Good: true}.Append(nil, 2),
		"alive_false":     Answer{Method: MethodAlive, Good: false}.Append(nil, 2),
		"shed_later":      DispatchException{Which: ShedException, Fields: later}.Append(nil, 7),
		"shed":            DispatchException{Which: ShedException}.Append(nil, 7),
		"fault_reason":    DispatchException{Which: FaultException, Fields: reason}.Append(nil, 7),
		"unknown_method": ApplicationException{
			Method: "select", Type: UnknownMethod, Text: "unknown method",
		}.Append(nil, 3),
		"protocol_error": ApplicationException{
			Method: "dispatch", Type: ProtocolError, Text: "thrift: message ends inside a value",
		}.Append(nil, 4),
		"append_to_others": Alive{}.Append([]byte("earlier bytes"), 2),
	} {
		goldentest.Compare(t, "golden/"+name+".bin", frame)
	}
}

// TestGoldenRequests checks that the recorded requests are decoded to the values they were encoded from.
func TestGoldenRequests(t *testing.T) {
	read := func(name string) Request {
		frame := goldentest.Read(t, "golden/"+name+".bin")
		r, err := ParseRequest(frame[FrameHeaderBytes:])
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		return r
	}
	r := read("dispatch_call")
	fields := r.Dispatch.Fields
	if r.Type != Call || r.Name != "dispatch" || r.Seq != 7 || string(r.Dispatch.Body) != "SELECT 1" ||
		len(fields) != 4 || fields.Get("verb") != "report" || fields.Get("txn") != "00ff00ff00ff00ff" ||
		fields.Get("limit") != "1500" || fields.Get("unique") != "0123456789abcdef0123456789abcdef" {
		t.Errorf("dispatch: %+v", r)
	}
	r = read("cancel_oneway")
	if r.Type != Oneway || r.Name != "cancelRequest" || r.Seq != 9 || r.Cancel.TargetSeq != 7 {
		t.Errorf("cancel: %+v", r)
	}
	if r = read("alive_call"); r.Type != Call || r.Name != "alive" || r.Seq != 2 {
		t.Errorf("alive: %+v", r)
	}
}
