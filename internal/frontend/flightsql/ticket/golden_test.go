package ticket

import (
	"bytes"
	"encoding/hex"
	"reflect"
	"strings"
	"testing"
	"time"

	"cresspass/internal/goldentest"
)

// TestTicketEncodingIsStable compares sealed tickets with the bytes under testdata, which the version that
// introduced this test wrote. Clients hold tickets and may send them back to a dispatcher of another version.
func TestTicketEncodingIsStable(t *testing.T) {
	key := []byte("a key for golden files, 32 bytes")
	for name, want := range map[string]*Ticket{
		"read": {Nonce: 1, Session: "0123456789abcdef0123456789abcdef", Text: "select 1",
			BindBody: []byte{0, 0, 0, 0, 0, 1, 0, 1}, ExpiresAt: 5 * time.Minute},
		"write": {Nonce: 1 << 60, Session: "conn-00/user", Transaction: "tx-0123456789abcdef0123456789abcdef",
			Text: "insert into t values ($1) -- ä", ParameterTypes: "\x00\x00\x00\x19",
			BindBody: []byte{0, 0, 0, 1, 0, 0, 0, 1, 'x', 0, 0}, ExpiresAt: 90*time.Second + 7,
			SingleUse: true},
		"empty": {},
	} {
		file := name + ".ticket"
		goldentest.Compare(t, file, []byte(hex.EncodeToString(Seal(key, want))+"\n"))
		text := goldentest.Read(t, file)
		sealed, err := hex.DecodeString(strings.TrimSpace(string(text)))
		if err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		got, err := Open(key, sealed)
		if err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: opened as %+v, want %+v", file, got, want)
		}
		if now := Seal(key, want); !bytes.Equal(now, sealed) {
			t.Errorf("%s: sealed as %x, want %x", file, now, sealed)
		}
	}
}
