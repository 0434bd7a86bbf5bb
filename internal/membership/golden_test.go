package membership

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/hashicorp/memberlist"

	"cresspass/internal/membership/ordinal"
)

// A member's metadata as sent on 2026-12-02: a fleet that is being upgraded has both versions at once.
func TestGoldenMetadata(t *testing.T) {
	for file, m := range map[string]ordinal.Member{
		"metadata-claim.bin":    {Name: "hall-a-1", Incarnation: 1764633600000000001, Claim: 258},
		"metadata-no-claim.bin": {Name: "hall-a-1", Incarnation: 0x0102030405060708, Claim: -1},
	} {
		path := filepath.Join("testdata", file)
		if os.Getenv("UPDATE_GOLDEN") != "" { // only a change of the form may need it
			if err := os.MkdirAll("testdata", 0o755); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, encodeMetadata(m), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		stored, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(encodeMetadata(m), stored) {
			t.Errorf("%s: this version writes %x, the file has %x", file, encodeMetadata(m), stored)
		}
		if got, ok := decodeMember(&memberlist.Node{Name: m.Name, Meta: stored}); !ok || got != m {
			t.Errorf("%s: read as %+v, %v", file, got, ok)
		}
	}
	for _, malformed := range [][]byte{nil, make([]byte, 9), make([]byte, 11)} {
		if _, ok := decodeMember(&memberlist.Node{Name: "x", Meta: malformed}); ok {
			t.Errorf("%d bytes were read", len(malformed))
		}
	}
}
