package pgsession

import (
	"encoding/binary"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cresspass/internal/backend/enginequery"
	"cresspass/internal/protocol/pgwire"
)

// TestHeldBytes checks that a session counts what it holds of its client's input: no less than what was sent,
// and nothing once it holds nothing any more.
func TestHeldBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(&Config{}, 7, strings.Repeat("k", 32))
		s.Receive(pgwire.AppendStartup(nil, pgwire.Version30, "user", "u"))
		names := rapid.SampledFrom([]string{"", "a", "b"})
		for range rapid.IntRange(0, 30).Draw(t, "messages") {
			text := "select n from t --" + strings.Repeat("x", rapid.IntRange(0, 2000).Draw(t, "length"))
			name := names.Draw(t, "name")
			switch rapid.IntRange(0, 6).Draw(t, "kind") {
			case 0, 1:
				s.Receive(parse(name, text))
			case 2, 3:
				values := binary.BigEndian.AppendUint32([]byte{0, 0, 0, 1}, uint32(len(text))) // one value
				values = append(append(values, text...), 0, 0)
				s.Receive(pgwire.AppendBind(nil, names.Draw(t, "portal"), name, values))
			case 4:
				s.Receive(target('C', "SP"[rapid.IntRange(0, 1).Draw(t, "closed")], name))
			case 5:
				s.Receive(pgwire.AppendSync(nil))
			case 6:
				s.Receive(pgwire.AppendText(nil, 'Q', text))
				if q := s.TakeQuery(); q != nil && s.HeldBytes() < len(text) {
					t.Fatalf("%d bytes are held while a query of %d runs", s.HeldBytes(), len(text))
				}
				s.QueryEnded(enginequery.Simple, done, false)
			}
			s.Output()
			least := 0
			for _, st := range s.statements.byName {
				least += len(st.text)
			}
			for _, p := range s.portals.byName {
				least += len(p.bindBody)
			}
			if held := s.HeldBytes(); held < least {
				t.Fatalf("%d bytes are held, %d in statements and portals", held, least)
			}
		}
		s.Receive(pgwire.AppendSync(nil))
		for name := range s.statements.byName {
			s.Receive(target('C', 'S', name))
		}
		if held := s.HeldBytes(); held != 0 {
			t.Fatalf("%d bytes are held by a session without statements and portals", held)
		}
		s.Receive([]byte("Q\x00\x00\x01\x00sel"))
		if held := s.HeldBytes(); held != 8 {
			t.Fatalf("%d bytes are held of a message of which 8 have arrived", held)
		}
	})
}
