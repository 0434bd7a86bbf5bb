package ticket

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// FuzzOpen checks that a sealed ticket opens to the same ticket, and that it does not open if any byte was
// changed, if it was truncated, or if it was signed with another key.
func FuzzOpen(f *testing.F) {
	key := []byte("key of a process")
	f.Add("session", "transaction", "select 1", "\x00\x00\x00\x19", []byte{1, 2}, uint64(7), int64(9), true,
		3,
		byte(1))
	f.Fuzz(func(t *testing.T, session, transaction, text, types string, bind []byte, nonce uint64,
		expiresAt int64, singleUse bool, at int, change byte) {
		in := &Ticket{Nonce: nonce, Session: session, Transaction: transaction, Text: text,
			ParameterTypes: types, BindBody: bind, ExpiresAt: time.Duration(expiresAt), SingleUse: singleUse}
		b := Seal(key, in)
		out, err := Open(key, b)
		if err != nil || out.Session != session || out.Transaction != transaction || out.Text != text ||
			out.ParameterTypes != types || !bytes.Equal(out.BindBody, bind) || out.Nonce != nonce ||
			out.ExpiresAt != in.ExpiresAt || out.SingleUse != singleUse {
			t.Fatalf("ticket %+v opened as %+v, error %v", in, out, err)
		}
		if _, err := Open([]byte("another"), b); !errors.Is(err, ErrForged) {
			t.Fatal("a ticket signed with another key was opened")
		}
		at = int(uint(at) % uint(len(b)))
		if _, err := Open(key, b[:at]); !errors.Is(err, ErrForged) {
			t.Fatalf("a ticket truncated to %d bytes was opened", at)
		}
		if b[at] ^= change; change != 0 {
			if _, err := Open(key, b); !errors.Is(err, ErrForged) {
				t.Fatalf("a ticket with byte %d changed was opened", at)
			}
		}
	})
}

// TestFetchLedger compares the ledger with a model. A statement that may change data runs at most once; a
// fetch that did not run it does not count. No statement runs for another session or after its ticket has
// expired. The ledger's memory is bounded, and empty again after the expiry of all tickets.
func TestFetchLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const lifetime, capacity = 10 * time.Second, 4
		ledger := NewFetchLedger(capacity)
		now := time.Duration(0)
		var all []*Ticket
		runs, running := map[uint64]int{}, map[uint64]bool{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				all = append(all, &Ticket{Nonce: uint64(len(all)), Session: "s", ExpiresAt: now + lifetime,
					SingleUse: rapid.Bool().Draw(t, "single use")})
			case 1:
				now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			case 2:
				if len(all) == 0 {
					continue
				}
				k := rapid.SampledFrom(all).Draw(t, "ticket")
				session := rapid.SampledFrom([]string{"s", "s", "other"}).Draw(t, "session")
				retryAfter, err := ledger.BeginFetch(now, k, session)
				want := error(nil)
				switch {
				case session != "s":
					want = ErrOtherSession
				case now >= k.ExpiresAt:
					want = ErrExpired
				case k.SingleUse && (running[k.Nonce] || runs[k.Nonce] > 0):
					want = ErrAlreadyFetched
				case k.SingleUse && errors.Is(err, ErrLedgerFull) && ledger.Len() == capacity &&
					retryAfter > 0:
					want = ErrLedgerFull
				}
				if !errors.Is(err, want) || err != nil && err.Error() != want.Error() {
					t.Fatalf("ticket %+v at %v: %v, want %v", k, now, err, want)
				}
				if err == nil && k.SingleUse {
					running[k.Nonce] = true
				}
			case 3:
				for _, k := range all {
					if running[k.Nonce] {
						ran := rapid.Bool().Draw(t, "ran")
						if ledger.EndFetch(k, ran); ran {
							runs[k.Nonce]++
						}
						delete(running, k.Nonce)
						break
					}
				}
			}
			if ledger.Len() > capacity {
				t.Fatalf("%d fetches remembered, want at most %d", ledger.Len(), capacity)
			}
		}
		now += 2 * lifetime
		last := &Ticket{Nonce: 1 << 40, Session: "s", ExpiresAt: now + lifetime}
		if _, err := ledger.BeginFetch(now, last, "s"); err != nil {
			t.Fatal(err)
		}
		if ledger.Len() != 0 || len(ledger.fetchOrder) != 0 {
			t.Fatalf("%d fetches and %d entries of fetchOrder are left, want none", ledger.Len(),
				len(ledger.fetchOrder))
		}
	})
}
