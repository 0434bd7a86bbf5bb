package soak

import (
	"encoding/hex"
	"errors"
	"testing"
)

// TestMessageFormat checks that messages are byte for byte those of Thrift's strict binary protocol over
// framed transport.
func TestMessageFormat(t *testing.T) {
	for name, c := range map[string]struct {
		message []byte
		want    string
	}{
		"alive": {aliveMessage(1), "00000016" + "80010001" + "00000005" +
			hex.EncodeToString([]byte("alive")) + "00000001" + "02000100" + "00"},
		"cancel": {cancelMessage(7, 9), "00000021" + "80010004" + "0000000d" +
			hex.EncodeToString([]byte("cancelRequest")) + "00000007" + "08000100000009" + "00"},
		"dispatch": {dispatchMessage(3, map[string]string{"txn": "a"}, "SELECT 1"), "00000039" + "80010001" +
			"00000008" + hex.EncodeToString([]byte("dispatch")) + "00000003" +
			"0d0001" + "0b0b" + "00000001" +
			"00000003" + hex.EncodeToString([]byte("txn")) + "00000001" + "61" +
			"0b0002" + "00000008" + hex.EncodeToString([]byte("SELECT 1")) + "00"},
	} {
		if got := hex.EncodeToString(c.message); got != c.want {
			t.Errorf("%s: got %s, want %s", name, got, c.want)
		}
	}
}

// TestParseAnswer checks that each kind of answer is decoded and that a frame truncated anywhere is an error.
func TestParseAnswer(t *testing.T) {
	const reply = "80010002" + "00000002" + "6f6b" + "00000005"
	for name, c := range map[string]struct {
		frame string
		want  answer
	}{
		"served": {reply + "0c0000" + "0b0001" + "00000001" + "72" + "020003" + "01" + "00",
			answer{method: "ok", seq: 5, kind: answerServed, body: "r", alive: true}},
		"refused": {reply + "0c0001", answer{method: "ok", seq: 5, kind: answerRefused}},
		"failed":  {reply + "0c0002", answer{method: "ok", seq: 5, kind: answerFailed}},
		"exception": {"80010003" + "00000002" + "6f6b" + "00000005",
			answer{method: "ok", seq: 5, kind: answerError}},
	} {
		frame, err := hex.DecodeString(c.frame)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := parseAnswer(frame); err != nil || got != c.want {
			t.Errorf("%s: got %+v, error %v; want %+v", name, got, err, c.want)
		}
		for cut := range frame {
			if got, err := parseAnswer(frame[:cut]); !errors.Is(err, errMalformedAnswer) {
				t.Errorf("%s truncated to %d bytes: got %+v, error %v; want errMalformedAnswer",
					name, cut, got, err)
			}
		}
	}
}
