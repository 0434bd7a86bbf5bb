package membership

import (
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cresspass/internal/membership/gossip"
	"cresspass/internal/membership/observation"
	"cresspass/internal/membership/ordinal"
	"cresspass/internal/membership/validation"
)

func key(b byte) []byte {
	k := make([]byte, 32)
	for i := range k {
		k[i] = b
	}
	return k
}

type testFleet struct {
	t           *testing.T
	mu          sync.Mutex
	received    map[string][]string
	incarnation uint64
}

func (f *testFleet) start(name string, keys [][]byte, seeds ...string) *Service {
	f.t.Helper()
	f.incarnation++
	store := observation.New(fmt.Sprint(name, "-", f.incarnation), observation.DefaultLimits())
	store.SetEngines([]string{"e1", "e2"})
	p, err := New(
		Config{
			Config: gossip.Config{
				Name:           name,
				Incarnation:    f.incarnation,
				OrdinalClaim:   -1,
				BytesPerSecond: 20000,
				Validation:     validation.DefaultLimits(1),
				Ordinals: ordinal.Limits{
					SettleTime: 200 * time.Millisecond,
					LossGrace:  500 * time.Millisecond,
					MinCount:   1,
				},
			},
			Listen:        "127.0.0.1:0",
			Seeds:         seeds,
			Keys:          keys,
			ProbeInterval: 100 * time.Millisecond,
			HandleAction: func(o gossip.Action) {
				if o.Type == gossip.DeliverMessage {
					f.mu.Lock()
					defer f.mu.Unlock()
					f.received[name] = append(f.received[name], fmt.Sprint(o.From, " ", o.Data[3]))
				}
			},
		},
		store,
		slog.New(slog.NewTextHandler(io.Discard, nil)),
	)
	if err != nil {
		f.t.Fatal(err)
	}
	return p
}

func (f *testFleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	for begin := time.Now(); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Since(begin) > 15*time.Second {
			f.t.Fatalf("%s: not within 15 s", what)
		}
	}
}

// converged reports whether all have the same count and ordinals of their own.
func converged(all []*Service) bool {
	seen := map[int]bool{}
	for _, p := range all {
		st := p.Stats()
		if st.Members != len(all) || st.Ordinal < 0 || st.Ordinal >= len(all) || seen[st.Ordinal] {
			return false
		}
		seen[st.Ordinal] = true
	}
	return true
}

// sentMessage is a message of a query just sent.
func sentMessage(threads byte) []byte { return []byte{3, 0, 0, threads} }

// Five dispatchers over real sockets: ordinals, messages, what one saw is known to all; one that dies and one
// that leaves; a wrong key; keys changed in service with one left behind; a message sent again; the rate.
func TestMembershipOverSockets(t *testing.T) {
	f := &testFleet{t: t, received: map[string][]string{}}
	keys := [][]byte{key(1)}
	first := f.start("a", keys)
	all := []*Service{first}
	for _, name := range []string{"b", "c", "d", "e"} {
		all = append(all, f.start(name, keys, first.Addr()))
	}
	f.eventually("agreed", func() bool { return converged(all) })
	stranger := f.start("x", [][]byte{key(9)}, first.Addr())
	f.eventually("messages", func() bool { // they may be lost, and claims are heard of a moment late
		first.SendMessage(-1, sentMessage(0))
		first.SendMessage(all[2].Stats().Ordinal, sentMessage(1))
		f.mu.Lock()
		defer f.mu.Unlock()
		from := fmt.Sprint(first.Stats().Ordinal, " ")
		ok := slices.Contains(f.received["c"], from+"1")
		for _, name := range []string{"b", "c", "d", "e"} {
			ok = ok && slices.Contains(f.received[name], from+"0")
		}
		return ok
	})
	f.mu.Lock()
	for _, name := range []string{"b", "d", "e"} {
		for _, m := range f.received[name] {
			if strings.HasSuffix(m, " 1") {
				t.Errorf("%s got what was for c", name)
			}
		}
	}
	f.mu.Unlock()
	k := observation.Key{Engine: "e1", Property: observation.Uptime}
	first.WithStore(func(now time.Duration, s *observation.Store) { s.Observe(now, k, 77) })
	for _, p := range all[1:] {
		f.eventually("known to all", func() (known bool) {
			p.WithStore(
				func(now time.Duration, s *observation.Store) { known = s.Assess(now, k).Value == 77 },
			)
			return known
		})
	}
	if !converged(all) || stranger.Stats().Members != 1 {
		t.Errorf("one with a wrong key is in: %+v", stranger.Stats())
	}
	stranger.Close()

	for range 200 {
		first.SendMessage(-1, make([]byte, 255))
	}
	if st := first.Stats(); st.PacketsRateLimited == 0 || st.BytesSent > 80000 {
		t.Errorf("the rate does not hold: %+v", st)
	}

	for _, p := range all[:4] { // the last is left behind
		if err := p.SetKeys([][]byte{key(1), key(2)}); err != nil {
			t.Fatal(err)
		}
	}
	for _, p := range all[:4] {
		p.SetKeys([][]byte{key(2), key(1)})
	}
	for _, p := range all[:4] {
		p.SetKeys([][]byte{key(2)})
	}
	f.eventually("the one left behind is lost, the others go on", func() bool { return converged(all[:4]) })
	all[4].Abort()
	ordinals := all[0].Stats().Ordinal
	all[3].Close() // leaves
	f.eventually("one left", func() bool { return converged(all[:3]) })
	all[2].Abort()
	f.eventually("one died", func() bool { return converged(all[:2]) })
	back := f.start("c", [][]byte{key(2)}, all[0].Addr())
	f.eventually("it returns", func() bool { return converged([]*Service{all[0], all[1], back}) })
	if n := all[0].Stats().Ordinal; n != ordinals {
		t.Errorf("one that never left had ordinal %d and has %d", ordinals, n)
	}
	for _, p := range []*Service{all[0], all[1], back} {
		p.Close()
	}
}
