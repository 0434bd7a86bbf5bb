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

type fleet struct {
	t    *testing.T
	mu   sync.Mutex
	got  map[string][]string
	born uint64
}

func (f *fleet) start(name string, keys [][]byte, seeds ...string) *Peers {
	f.t.Helper()
	f.born++
	store := observation.New(fmt.Sprint(name, "-", f.born), observation.DefaultLimits())
	store.Roster([]string{"e1", "e2"})
	p, err := New(Config{Config: gossip.Config{Name: name, Born: f.born, Claim: -1, Rate: 20000,
		Believe:  validation.DefaultLimits(1),
		Ordinals: ordinal.Limits{Still: 200 * time.Millisecond, Grace: 500 * time.Millisecond, Least: 1}},
		Listen: "127.0.0.1:0", Seeds: seeds, Keys: keys, Probe: 100 * time.Millisecond,
		Do: func(o gossip.Output) {
			if o.Type == gossip.Message {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.got[name] = append(f.got[name], fmt.Sprint(o.From, " ", o.Data[3]))
			}
		}}, store, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		f.t.Fatal(err)
	}
	return p
}

func (f *fleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	for begin := time.Now(); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Since(begin) > 15*time.Second {
			f.t.Fatalf("%s: not within 15 s", what)
		}
	}
}

// agreed reports whether all have the same count and ordinals of their own.
func agreed(all []*Peers) bool {
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

// sent is a message of a query just sent.
func sent(threads byte) []byte { return []byte{3, 0, 0, threads} }

// Five dispatchers over real sockets: ordinals, messages, what one saw is known to all; one that dies and one
// that leaves; a wrong key; keys changed in service with one left behind; a message sent again; the rate.
func TestFleet(t *testing.T) {
	f := &fleet{t: t, got: map[string][]string{}}
	keys := [][]byte{key(1)}
	first := f.start("a", keys)
	all := []*Peers{first}
	for _, name := range []string{"b", "c", "d", "e"} {
		all = append(all, f.start(name, keys, first.Addr()))
	}
	f.eventually("agreed", func() bool { return agreed(all) })
	stranger := f.start("x", [][]byte{key(9)}, first.Addr())
	f.eventually("messages", func() bool { // they may be lost, and claims are heard of a moment late
		first.Tell(-1, sent(0))
		first.Tell(all[2].Stats().Ordinal, sent(1))
		f.mu.Lock()
		defer f.mu.Unlock()
		from := fmt.Sprint(first.Stats().Ordinal, " ")
		ok := slices.Contains(f.got["c"], from+"1")
		for _, name := range []string{"b", "c", "d", "e"} {
			ok = ok && slices.Contains(f.got[name], from+"0")
		}
		return ok
	})
	f.mu.Lock()
	for _, name := range []string{"b", "d", "e"} {
		for _, m := range f.got[name] {
			if strings.HasSuffix(m, " 1") {
				t.Errorf("%s got what was for c", name)
			}
		}
	}
	f.mu.Unlock()
	k := observation.Key{Engine: "e1", Fact: observation.Warmth}
	first.With(func(now time.Duration, s *observation.Store) { s.See(now, k, 77) })
	for _, p := range all[1:] {
		f.eventually("known to all", func() (known bool) {
			p.With(func(now time.Duration, s *observation.Store) { known = s.Opinion(now, k).Value == 77 })
			return known
		})
	}
	if !agreed(all) || stranger.Stats().Members != 1 {
		t.Errorf("one with a wrong key is in: %+v", stranger.Stats())
	}
	stranger.Close()

	for range 200 {
		first.Tell(-1, make([]byte, 255))
	}
	if st := first.Stats(); st.Held == 0 || st.Bytes > 80000 {
		t.Errorf("the rate does not hold: %+v", st)
	}

	for _, p := range all[:4] { // the last is left behind
		if err := p.Keys([][]byte{key(1), key(2)}); err != nil {
			t.Fatal(err)
		}
	}
	for _, p := range all[:4] {
		p.Keys([][]byte{key(2), key(1)})
	}
	for _, p := range all[:4] {
		p.Keys([][]byte{key(2)})
	}
	f.eventually("the one left behind is lost, the others go on", func() bool { return agreed(all[:4]) })
	all[4].Die()
	ordinals := all[0].Stats().Ordinal
	all[3].Close() // leaves
	f.eventually("one left", func() bool { return agreed(all[:3]) })
	all[2].Die()
	f.eventually("one died", func() bool { return agreed(all[:2]) })
	back := f.start("c", [][]byte{key(2)}, all[0].Addr())
	f.eventually("it returns", func() bool { return agreed([]*Peers{all[0], all[1], back}) })
	if n := all[0].Stats().Ordinal; n != ordinals {
		t.Errorf("one that never left had ordinal %d and has %d", ordinals, n)
	}
	for _, p := range []*Peers{all[0], all[1], back} {
		p.Close()
	}
}
