package ticket

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A ticket opens to what was sealed; changed in any byte, cut or signed by another key it does not.
func FuzzOpen(f *testing.F) {
	key := []byte("key of a life")
	f.Add("session", "lane", "select 1", "\x00\x00\x00\x19", []byte{1, 2}, uint64(7), int64(9), true, 3,
		byte(1))
	f.Fuzz(func(t *testing.T, session, lane, text, types string, bind []byte, nonce uint64, until int64,
		once bool,
		at int, change byte) {
		in := &Ticket{Nonce: nonce, Session: session, Lane: lane, Text: text, Types: types, Bind: bind,
			Until: time.Duration(until), Once: once}
		b := Seal(key, in)
		out, err := Open(key, b)
		if err != nil || out.Session != session || out.Lane != lane || out.Text != text ||
			out.Types != types ||
			!bytes.Equal(out.Bind, bind) || out.Nonce != nonce || out.Until != in.Until || out.Once != once {
			t.Fatalf("%+v comes back as %+v, %v", in, out, err)
		}
		if _, err := Open([]byte("another"), b); !errors.Is(err, ErrForged) {
			t.Fatal("signed by another key, and taken")
		}
		at = int(uint(at) % uint(len(b)))
		if _, err := Open(key, b[:at]); !errors.Is(err, ErrForged) {
			t.Fatalf("cut at %d, and taken", at)
		}
		if b[at] ^= change; change != 0 {
			if _, err := Open(key, b); !errors.Is(err, ErrForged) {
				t.Fatalf("byte %d changed, and taken", at)
			}
		}
	})
}

// Against a model: what may change data is let run once, unless a run of it did not happen; never for another
// session, never past its end; memory is bounded, and given back.
func TestBook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const life, most = 10 * time.Second, 4
		b := NewBook(most)
		now := time.Duration(0)
		var all []*Ticket
		runs, out := map[uint64]int{}, map[uint64]bool{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				all = append(all, &Ticket{Nonce: uint64(len(all)), Session: "s", Until: now + life,
					Once: rapid.Bool().Draw(t, "once")})
			case 1:
				now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			case 2:
				if len(all) == 0 {
					continue
				}
				k := rapid.SampledFrom(all).Draw(t, "ticket")
				session := rapid.SampledFrom([]string{"s", "s", "other"}).Draw(t, "session")
				wait, err := b.Fetch(now, k, session)
				want := error(nil)
				switch {
				case session != "s":
					want = ErrSession
				case now >= k.Until:
					want = ErrOld
				case k.Once && (out[k.Nonce] || runs[k.Nonce] > 0):
					want = ErrFetched
				case k.Once && err == ErrNoRoom && b.Len() == most && wait > 0:
					want = ErrNoRoom
				}
				if err != want {
					t.Fatalf("ticket %+v at %v: %v, want %v", k, now, err, want)
				}
				if err == nil && k.Once {
					out[k.Nonce] = true
				}
			case 3:
				for _, k := range all {
					if out[k.Nonce] {
						ran := rapid.Bool().Draw(t, "ran")
						if b.Done(k, ran); ran {
							runs[k.Nonce]++
						}
						delete(out, k.Nonce)
						break
					}
				}
			}
			if b.Len() > most {
				t.Fatalf("%d remembered, at most %d may be", b.Len(), most)
			}
		}
		now += 2 * life
		if b.Fetch(now, &Ticket{Nonce: 1 << 40, Session: "s", Until: now + life}, "s"); b.Len() != 0 ||
			len(b.ends) != 0 {
			t.Fatalf("%d and %d are left", b.Len(), len(b.ends))
		}
	})
}
