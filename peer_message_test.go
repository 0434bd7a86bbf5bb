package cresspass

import (
	"bytes"
	"testing"
)

func TestPeerMessagesReadBackAsWritten(t *testing.T) {
	var entries []peerEntry
	for i := range 200 {
		entries = append(
			entries,
			peerEntry{tag: uint16(i * 311), load: float64(i), succeeded: i % 16, failed: i % 7},
		)
	}
	for _, m := range []peerMessageType{peerLoadReport, peerAggregate, peerSendNotice, peerForwardedSends} {
		var got []peerEntry
		for _, data := range encodePeerMessage(m, entries) {
			if len(data) > maxPeerMessageBytes {
				t.Errorf("type %d: message of %d bytes", m, len(data))
			}
			kind, part := decodePeerMessage(data)
			if kind != m {
				t.Errorf("type %d read as %d", m, kind)
			}
			got = append(got, part...)
		}
		for i, e := range entries {
			if m != peerLoadReport {
				e.succeeded, e.failed = 0, 0
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
		m, entries := decodePeerMessage(data)
		for _, e := range entries {
			if e.load < 0 || e.load > maxPeerLoad || e.succeeded > maxPeerCount || e.failed > maxPeerCount {
				t.Errorf("entry out of its clip: %v", e)
			}
		}
		if m != 0 && len(encodePeerMessage(m, entries)) == 1 &&
			!bytes.HasPrefix(data, encodePeerMessage(m, entries)[0]) {
			t.Errorf("%v does not write back", data)
		}
	})
}
