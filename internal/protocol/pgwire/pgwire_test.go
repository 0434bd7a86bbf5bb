package pgwire

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"pgregory.net/rapid"
)

// readAll reads the messages from a stream that is given in pieces, up to an error.
func readAll(r *Reader, pieces [][]byte) (out []string, err error) {
	for _, p := range pieces {
		scratch := append([]byte(nil), p...)
		r.Push(scratch)
		for {
			m, ok, err := r.Next()
			if err != nil {
				return out, err
			}
			if !ok {
				break
			}
			out = append(out, fmt.Sprintf("%d:%x", m.Type, m.Body))
			r.Startup = false
		}
		r.Rest()
		for i := range scratch { // a caller may reuse the bytes of Push after Rest
			scratch[i] = 0xee
		}
	}
	return out, nil
}

// split splits a stream into pieces of random lengths.
func split(t *rapid.T, b []byte) (pieces [][]byte) {
	for len(b) > 0 {
		n := rapid.IntRange(1, min(len(b), 40)).Draw(t, "piece")
		pieces = append(pieces, b[:n])
		b = b[n:]
	}
	return pieces
}

// drawStream draws a client's byte stream: a startup packet and messages.
func drawStream(t *rapid.T) []byte {
	b := AppendStartup(nil, Version30, "user", rapid.StringMatching(`[a-z]{1,9}`).Draw(t, "user"))
	for range rapid.IntRange(0, 12).Draw(t, "messages") {
		text := rapid.StringMatching(`[ -~]{0,30}`).Draw(t, "text")
		switch rapid.IntRange(0, 5).Draw(t, "kind") {
		case 0:
			b = AppendText(b, 'Q', text)
		case 1:
			b = AppendParse(b, "s1", text, []byte{0, 0, 0, 23})
		case 2:
			b = AppendExecute(b, "p", 7)
		case 3:
			b = AppendSync(b)
		case 4:
			b = AppendTarget(b, 'D', 'S', text)
		case 5:
			b = Append(b, 'd', []byte(text))
		}
	}
	return b
}

// TestReaderIndependentOfSplits: the messages read from a stream do not depend on how the stream is split,
// even if it is malformed.
func TestReaderIndependentOfSplits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := drawStream(t)
		if rapid.Bool().Draw(t, "broken") {
			b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		}
		whole, err1 := readAll(&Reader{Startup: true, Known: FrontendType}, [][]byte{b})
		parts, err2 := readAll(&Reader{Startup: true, Known: FrontendType}, split(t, b))
		if (err1 == nil) != (err2 == nil) || fmt.Sprint(whole) != fmt.Sprint(parts) {
			t.Fatalf("whole %v %v, in pieces %v %v", whole, err1, parts, err2)
		}
		if err1 != nil && !errors.Is(err1, ErrFrame) {
			t.Fatalf("error %v is no ErrFrame", err1)
		}
	})
}

// TestAgreesWithPgproto3: pgproto3 reads what this package writes with the same meaning, and vice versa.
func TestAgreesWithPgproto3(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[ -~]{0,40}`).Draw(t, "text")
		f := Fields{Severity: "ERROR", Code: "53000", Message: text, Hint: "h" + text,
			Others: map[byte]string{'P': "7", 'R': "exec"}}
		out := AppendFields(nil, 'E', &f)
		out = AppendText(out, 'S', "name", text)
		out = AppendKey(out, 77, []byte{1, 2, 3, 4})
		out = AppendReady(out, 'T')
		front := pgproto3.NewFrontend(bytes.NewReader(out), nil)
		var got []pgproto3.BackendMessage
		for range 4 {
			m, err := front.Receive()
			if err != nil {
				t.Fatal(err)
			}
			switch m := m.(type) {
			case *pgproto3.ErrorResponse:
				if m.Code != f.Code || m.Message != text || m.Hint != f.Hint || m.Position != 7 ||
					m.Routine != "exec" {
					t.Fatalf("error read as %+v", m)
				}
			case *pgproto3.ParameterStatus:
				if m.Value != text {
					t.Fatalf("status read as %+v", m)
				}
			}
			got = append(got, m)
		}
		if got[3].(*pgproto3.ReadyForQuery).TxStatus != 'T' ||
			got[2].(*pgproto3.BackendKeyData).ProcessID != 77 {
			t.Fatalf("read as %+v", got)
		}

		value := rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "value")
		formats := rapid.SliceOfN(rapid.SampledFrom([]int16{0, 1}), 0, 1).Draw(t, "formats")
		theirs := &pgproto3.Bind{PreparedStatement: "s", ParameterFormatCodes: formats,
			Parameters: [][]byte{value, nil}, ResultFormatCodes: formats}
		b, err := theirs.Encode(nil)
		if err != nil {
			t.Fatal(err)
		}
		bind, err := ParseBind(b[5:])
		if err != nil || string(bind.Statement) != "s" || !bytes.Equal(bind.First, value) {
			t.Fatalf("bind read as %+v: %v", bind, err)
		}
		var again pgproto3.Bind
		if err := again.Decode(AppendBind(nil, "p", "other", bind.Rest)[5:]); err != nil ||
			again.PreparedStatement != "other" ||
			!bytes.Equal(again.Parameters[0], value) {
			t.Fatalf("our bind read as %+v: %v", again, err)
		}
		b, _ = (&pgproto3.Parse{Name: "n", Query: text, ParameterOIDs: []uint32{23, 25}}).Encode(nil)
		p, err := ParseParse(b[5:])
		if err != nil || string(p.Text) != text || !bytes.Equal(AppendParse(nil, "n", text, p.Types), b) {
			t.Fatalf("parse read as %+v: %v", p, err)
		}
	})
}

// TestReaderRejectsMalformedHeads: a length out of bounds or an unexpected type is an immediate error.
func TestReaderRejectsMalformedHeads(t *testing.T) {
	for name, c := range map[string]struct {
		r Reader
		b []byte
	}{
		"length of 1 GB":      {Reader{}, []byte{'Q', 0x40, 0, 0, 0}},
		"negative length":     {Reader{}, []byte{'Q', 0xff, 0xff, 0xff, 0xff}},
		"length under its 4":  {Reader{}, []byte{'Q', 0, 0, 0, 3}},
		"unknown type":        {Reader{Known: FrontendType}, []byte{'!'}},
		"server's type":       {Reader{Known: FrontendType}, []byte{'Z', 0, 0, 0, 5}},
		"startup too long":    {Reader{Startup: true}, []byte{0, 0, 0x40, 0}},
		"startup of no bytes": {Reader{Startup: true}, []byte{0, 0, 0, 4}},
	} {
		c.r.Push(c.b)
		if _, ok, err := c.r.Next(); ok || !errors.Is(err, ErrFrame) {
			t.Errorf("%s: ok %v, error %v", name, ok, err)
		}
	}
}

// FuzzReader: no stream makes reading panic, and fields that were parsed are written with the same meaning.
func FuzzReader(f *testing.F) {
	f.Add(AppendText(AppendStartup(nil, Version32, "user", "u"), 'Q', "select 1"), 3)
	f.Add(AppendCancel(nil, 1, []byte{1, 2, 3, 4}), 1)
	f.Add(AppendFields(nil, 'E', &Fields{Code: "53000", Message: "m"}), 2)
	f.Fuzz(func(t *testing.T, b []byte, at int) {
		for _, startup := range []bool{false, true} {
			r := Reader{Startup: startup, Max: 1 << 16}
			cut := 0
			if len(b) > 0 {
				cut = int(uint(at) % uint(len(b)))
			}
			for _, p := range [][]byte{b[:cut], b[cut:]} {
				r.Push(p)
				for {
					m, ok, err := r.Next()
					if err != nil || !ok {
						break
					}
					// Whatever they return, none may panic or read past the body.
					_, _ = ParseStartup(m.Body)
					_, _ = ParseParse(m.Body)
					_, _ = ParseBind(m.Body)
					_, _, _ = ParseTarget(m.Body)
					_, _, _ = ParseExecute(m.Body)
					_, _, _ = ParseKey(m.Body)
					if fl, err := ParseFields(m.Body); err == nil {
						again, err := ParseFields(AppendFields(nil, 'E', &fl)[5:])
						if err != nil || again.Message != fl.Message || again.Code != fl.Code {
							t.Fatalf("fields %+v came back as %+v, %v", fl, again, err)
						}
					}
				}
				r.Rest()
			}
		}
	})
}

func BenchmarkRead(b *testing.B) {
	var stream []byte
	for range 100 {
		stream = AppendText(stream, 'D', "a row of some forty bytes, as rows often are")
	}
	r := Reader{Known: BackendType}
	b.ReportAllocs()
	b.SetBytes(int64(len(stream)))
	for b.Loop() {
		r.Push(stream)
		for {
			if _, ok, _ := r.Next(); !ok {
				break
			}
		}
		r.Rest()
	}
}
