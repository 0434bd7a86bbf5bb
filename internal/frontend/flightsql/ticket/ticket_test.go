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
		in := &Ticket{
			Nonce:          nonce,
			Session:        session,
			Transaction:    lane,
			Text:           text,
			ParameterTypes: types,
			BindBody:       bind,
			ExpiresAt:      time.Duration(until),
			SingleUse:      once,
		}
		b := Seal(key, in)
		out, err := Open(key, b)
		if err != nil || out.Session != session || out.Transaction != lane || out.Text != text ||
			out.ParameterTypes != types ||
			!bytes.Equal(
				out.BindBody,
				bind,
			) || out.Nonce != nonce || out.ExpiresAt != in.ExpiresAt || out.SingleUse != once {
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
func TestFetchLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const life, most = 10 * time.Second, 4
		b := NewFetchLedger(most)
		now := time.Duration(0)
		var all []*Ticket
		runs, out := map[uint64]int{}, map[uint64]bool{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				all = append(all, &Ticket{Nonce: uint64(len(all)), Session: "s", ExpiresAt: now + life,
					SingleUse: rapid.Bool().Draw(t, "once")})
			case 1:
				now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			case 2:
				if len(all) == 0 {
					continue
				}
				k := rapid.SampledFrom(all).Draw(t, "ticket")
				session := rapid.SampledFrom([]string{"s", "s", "other"}).Draw(t, "session")
				wait, err := b.BeginFetch(now, k, session)
				want := error(nil)
				switch {
				case session != "s":
					want = ErrOtherSession
				case now >= k.ExpiresAt:
					want = ErrExpired
				case k.SingleUse && (out[k.Nonce] || runs[k.Nonce] > 0):
					want = ErrAlreadyFetched
				case k.SingleUse && err == ErrLedgerFull && b.Len() == most && wait > 0:
					want = ErrLedgerFull
				}
				if err != want {
					t.Fatalf("ticket %+v at %v: %v, want %v", k, now, err, want)
				}
				if err == nil && k.SingleUse {
					out[k.Nonce] = true
				}
			case 3:
				for _, k := range all {
					if out[k.Nonce] {
						ran := rapid.Bool().Draw(t, "ran")
						if b.EndFetch(k, ran); ran {
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
		if b.BeginFetch(now, &Ticket{Nonce: 1 << 40, Session: "s", ExpiresAt: now + life}, "s"); b.Len() != 0 ||
			len(b.byExpiry) != 0 {
			t.Fatalf("%d and %d are left", b.Len(), len(b.byExpiry))
		}
	})
}
