package gossip

import (
	"bytes"
	"encoding/binary"
	"errors"
	"reflect"
	"testing"
	"time"

	"cresspass/internal/goldentest"
	"cresspass/internal/membership/observation"
	"cresspass/internal/membership/ordinal"
)

// goldenObservations returns observations that cover all fields, with their greatest and least values.
func goldenObservations() []observation.Observation {
	return []observation.Observation{
		{Key: observation.Key{Engine: "10.0.0.1:5432", Property: observation.Health}, Observer: "hall-a-1",
			Age: 1500 * time.Millisecond, Seq: 42, Value: 1, Hops: 2},
		{Key: observation.Key{Engine: "10.0.0.2:5432", Property: observation.Load}, Observer: "hall-b-2",
			Age: 0, Seq: 1, Value: 12.25, Hops: 0},
		{Key: observation.Key{Engine: "[::1]:5432", Property: observation.Uptime}, Observer: "hall-c-3",
			Age: 4294967295 * time.Millisecond, Seq: 1<<64 - 1, Value: 86400.5, Hops: 255},
		{Key: observation.Key{Property: observation.ModelParameter, Parameter: "c/dash/scale"},
			Observer: "(former)", Age: time.Hour, Seq: 7, Value: 0.0625, Hops: 11},
		{Key: observation.Key{Property: observation.ModelParameter, Parameter: "k/std/\"dash\"/*"},
			Observer: "", Age: time.Millisecond, Seq: 8, Value: 3, Hops: 1},
	}
}

// Packets of every kind as dispatchers sent them on 2026-12-02. A fleet that is being upgraded runs both
// versions at once, so each packet is still decoded to the same values and encoded to the same bytes. Only a
// change of the packet version may change the files.
func TestGoldenPackets(t *testing.T) {
	var digest observation.Digest
	for i := range digest {
		digest[i] = uint64(i)<<56 | 0x0102030405060708*uint64(i)
	}
	records := EncodeObservations(goldenObservations())
	if len(records) != 1 {
		t.Fatalf("%d pieces", len(records))
	}
	for _, c := range []struct {
		file string
		kind byte // as sent
		data []byte
	}{
		{"packet-1-message.bin", 1, []byte{3, 0xab, 0xcd, 2}},
		{"packet-2-digest.bin", 2, appendDigest(digest)},
		{"packet-3-observations.bin", 3, records[0]},
		{"packet-4-bootstrap-request.bin", 4, nil},
		{"packet-5-bootstrap-reply.bin", 5, append([]byte{1, 3}, records[0]...)},
		{"packet-6-bootstrap-empty.bin", 6, nil},
		{"packet-7-name-conflict.bin", 7, binary.BigEndian.AppendUint64(nil, 1764633600123456789)},
	} {
		want := header{kind: packetKind(c.kind), incarnation: 1764633600000000001, seq: 0x0102030405060708,
			clock: 25*time.Hour + 123*time.Millisecond, name: "hall-a-1"}
		goldentest.Compare(t, c.file, want.encode(c.data))
		stored := goldentest.Read(t, c.file)
		h, data, ok := readHeader(stored)
		if !ok || h != want || !bytes.Equal(data, c.data) {
			t.Errorf("%s: read as %+v, %x, %v", c.file, h, data, ok)
			continue
		}
		if stored[0] != 2 || stored[1] != c.kind {
			t.Errorf("%s: version %d, kind %d", c.file, stored[0], stored[1])
		}
		switch c.kind {
		case 2:
			if d, ok := readDigest(data); !ok || d != digest {
				t.Errorf("%s: read as %v, %v", c.file, d, ok)
			}
		case 3, 5:
			if c.kind == 5 {
				data = data[2:]
			}
			all, err := DecodeObservations(data)
			if err != nil || !reflect.DeepEqual(all, goldenObservations()) {
				t.Errorf("%s: read as %+v, %v", c.file, all, err)
			}
		}
		receiver := newTestNode("b", 1, 0)
		receiver.MemberAlive(start, ordinal.Member{Name: "hall-a-1", Incarnation: want.incarnation, Claim: 0})
		receiver.HandlePacket(start, stored)
		if st := receiver.Stats(); st.PacketsAccepted != 1 || st.PacketsMalformed != 0 ||
			st.PacketsFromUnknown != 0 || st.PacketsReplayed != 0 {
			t.Errorf("%s: a member's packet: %+v", c.file, st)
		}
	}
}

// The model state that a dispatcher has learnt, as concatenated pieces of packet size: the form in which it
// is stored in the state folder and passed on in a handover.
func TestGoldenStoredObservations(t *testing.T) {
	var all []observation.Observation
	for i := range 60 {
		for _, r := range goldenObservations() {
			r.Seq, r.Value = r.Seq+uint64(i), r.Value+float64(i)
			all = append(all, r)
		}
	}
	pieces := EncodeObservations(all)
	if len(pieces) < 2 {
		t.Fatalf("%d pieces", len(pieces))
	}
	goldentest.Compare(t, "observations.bin", bytes.Join(pieces, nil))
	stored := goldentest.Read(t, "observations.bin")
	if read, err := DecodeObservations(stored); err != nil || !reflect.DeepEqual(read, all) {
		t.Errorf("read as %+v, %v", read, err)
	}
	if _, err := DecodeObservations(stored[:len(stored)-1]); !errors.Is(err, errTruncated) {
		t.Errorf("cut short: %v", err)
	}
}
