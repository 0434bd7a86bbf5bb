package cresspass

import (
	"bytes"
	"testing"
)

func TestPeerMessagesReadBackAsWritten(t *testing.T) {
	var entries []PeerLoad
	for i := range 200 {
		entries = append(
			entries,
			PeerLoad{Tag: uint16(i * 311), Threads: float64(i), Succeeded: i % 16, Failed: i % 7},
		)
	}
	for _, m := range []PeerMessageType{PeerLoadReport, PeerAggregate, PeerSendNotice, PeerForwardedSends} {
		var got []PeerLoad
		for _, data := range encodePeerMessage(m, entries) {
			if len(data) > maxPeerMessageBytes {
				t.Errorf("type %d: message of %d bytes is too long", m, len(data))
			}
			kind, part := DecodePeerMessage(data)
			if kind != m {
				t.Errorf("type %d decoded as %d", m, kind)
			}
			got = append(got, part...)
		}
		for i, e := range entries {
			if m != PeerLoadReport {
				e.Succeeded, e.Failed = 0, 0
			}
			if got[i] != e {
				t.Fatalf("type %d, entry %d: got %v, want %v", m, i, got[i], e)
			}
		}
	}
}

func FuzzDecodePeer(f *testing.F) {
	f.Add([]byte{1, 0, 5, 3, 0x21})
	f.Add([]byte{2, 1, 2, 255, 9})
	f.Add([]byte{3})
	f.Add([]byte{77, 1, 2, 3})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, entries := DecodePeerMessage(data)
		for _, e := range entries {
			if e.Threads < 0 || e.Threads > maxPeerLoad || e.Succeeded > maxPeerCount ||
				e.Failed > maxPeerCount {
				t.Errorf("decoded entry out of range: %v", e)
			}
		}
		if m != 0 && len(encodePeerMessage(m, entries)) == 1 &&
			!bytes.HasPrefix(data, encodePeerMessage(m, entries)[0]) {
			t.Errorf("message %v is not re-encoded as it was", data)
		}
	})
}
