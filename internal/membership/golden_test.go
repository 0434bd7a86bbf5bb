package membership

import (
	"testing"

	"github.com/hashicorp/memberlist"

	"cresspass/internal/goldentest"
	"cresspass/internal/membership/ordinal"
)

// A member's metadata as sent on 2026-12-02. A fleet that is being upgraded runs both versions at once, so
// the encoding must not change. Only a change of the format may change the files.
func TestGoldenMetadata(t *testing.T) {
	for file, m := range map[string]ordinal.Member{
		"metadata-claim.bin":    {Name: "hall-a-1", Incarnation: 1764633600000000001, Claim: 258},
		"metadata-no-claim.bin": {Name: "hall-a-1", Incarnation: 0x0102030405060708, Claim: -1},
	} {
		goldentest.Compare(t, file, encodeMetadata(m))
		stored := goldentest.Read(t, file)
		if got, ok := decodeMember(&memberlist.Node{Name: m.Name, Meta: stored}); !ok || got != m {
			t.Errorf("%s: read as %+v, %v", file, got, ok)
		}
	}
	for _, malformed := range [][]byte{nil, make([]byte, 9), make([]byte, 11)} {
		if _, ok := decodeMember(&memberlist.Node{Name: "x", Meta: malformed}); ok {
			t.Errorf("%d bytes were decoded", len(malformed))
		}
	}
}
