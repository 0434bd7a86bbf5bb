package membership

import (
	"bytes"
	"errors"
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

// testKey returns a key of 32 equal bytes.
func testKey(b byte) []byte { return bytes.Repeat([]byte{b}, 32) }

// bytesPerSecond is the rate limit of a dispatcher in these tests.
const bytesPerSecond = 20000

// testFleet starts dispatchers over real sockets and collects the messages that they receive.
type testFleet struct {
	t           *testing.T
	mu          sync.Mutex
	received    map[string][]string // "sender's ordinal, threads" by the receiver's name
	incarnation uint64
}

func (f *testFleet) start(name string, keys [][]byte, seeds ...string) *Service {
	f.t.Helper()
	config, store := f.configure(name, keys, seeds...)
	s, err := New(config, store, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		f.t.Fatal(err)
	}
	return s
}

// configure returns the settings and the store of a dispatcher to be started.
func (f *testFleet) configure(name string, keys [][]byte, seeds ...string) (Config, *observation.Store) {
	f.incarnation++
	store := observation.New(fmt.Sprint(name, "-", f.incarnation), observation.DefaultLimits())
	store.SetEngines([]string{"e1", "e2"})
	return Config{
		Config: gossip.Config{
			Name:           name,
			Incarnation:    f.incarnation,
			OrdinalClaim:   ordinal.Unassigned,
			BytesPerSecond: bytesPerSecond,
			Validation:     validation.DefaultLimits(1),
			Ordinals: ordinal.Limits{SettleTime: 200 * time.Millisecond, LossGrace: 500 * time.Millisecond,
				MinCount: 1},
		},
		Listen:        "127.0.0.1:0",
		Seeds:         seeds,
		Keys:          keys,
		ProbeInterval: 100 * time.Millisecond,
		HandleAction: func(a gossip.Action) {
			if a.Type == gossip.DeliverMessage {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.received[name] = append(f.received[name], fmt.Sprint(a.From, " ", a.Data[3]))
			}
		},
	}, store
}

func (f *testFleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	for begin := time.Now(); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Since(begin) > 15*time.Second {
			f.t.Fatalf("%s: not within 15 s", what)
		}
	}
}

// converged reports whether all services know all members and have distinct ordinals.
func converged(services []*Service) bool {
	seen := map[int]bool{}
	for _, s := range services {
		st := s.Stats()
		if st.Members != len(services) || st.Ordinal < 0 || st.Ordinal >= len(services) || seen[st.Ordinal] {
			return false
		}
		seen[st.Ordinal] = true
	}
	return true
}

// sentMessage returns a message about a query that was just sent.
func sentMessage(threads byte) []byte { return []byte{3, 0, 0, threads} }

// Five dispatchers over real sockets agree on ordinals, and exchange messages and observations within the
// rate. A dispatcher with a wrong key does not join. The key is changed in use, and a member that does not
// change it is lost. One member leaves, one crashes, and one returns.
func TestMembershipOverSockets(t *testing.T) {
	f := &testFleet{t: t, received: map[string][]string{}}
	keys := [][]byte{testKey(1)}
	begin := time.Now()
	first := f.start("a", keys)
	all := []*Service{first}
	for _, name := range []string{"b", "c", "d", "e"} {
		all = append(all, f.start(name, keys, first.Addr()))
	}
	f.eventually("converged", func() bool { return converged(all) })
	wrongKey := f.start("x", [][]byte{testKey(9)}, first.Addr())
	f.eventually("messages", func() bool { // messages may be lost, and claims arrive a moment late
		first.SendMessage(gossip.AllPeers, sentMessage(0))
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
				t.Errorf("%s received what was for c", name)
			}
		}
	}
	f.mu.Unlock()
	f.observationReachesAll(first, all[1:])
	if !converged(all) || wrongKey.Stats().Members != 1 {
		t.Errorf("a dispatcher with a wrong key has joined: %+v", wrongKey.Stats())
	}
	wrongKey.Close()

	for range 200 {
		first.SendMessage(gossip.AllPeers, make([]byte, 255))
	}
	// The bytes of one second may be sent at once, in addition to the rate times the duration of the test.
	st := first.Stats()
	mostBytes := uint64(bytesPerSecond * (1 + time.Since(begin).Seconds()))
	if st.PacketsRateLimited == 0 || st.BytesSent > mostBytes {
		t.Errorf("the rate does not hold, %d bytes at the most: %+v", mostBytes, st)
	}

	changeKey(t, all[:4]) // the last service keeps the old key
	f.eventually("the one left behind is lost, the others go on", func() bool { return converged(all[:4]) })
	all[4].Abort()
	before := all[0].Stats().Ordinal
	all[3].Close() // announces its leave
	f.eventually("one left", func() bool { return converged(all[:3]) })
	all[2].Abort()
	f.eventually("one crashed", func() bool { return converged(all[:2]) })
	returned := f.start("c", [][]byte{testKey(2)}, all[0].Addr())
	f.eventually("it returns", func() bool { return converged([]*Service{all[0], all[1], returned}) })
	if after := all[0].Stats().Ordinal; after != before {
		t.Errorf("one that never left had ordinal %d and has %d", before, after)
	}
	for _, s := range []*Service{all[0], all[1], returned} {
		s.Close()
	}
}

// observationReachesAll records an observation of an engine at one dispatcher, and waits until its peers
// have it.
func (f *testFleet) observationReachesAll(observer *Service, peers []*Service) {
	f.t.Helper()
	key := observation.Key{Engine: "e1", Property: observation.Uptime}
	observer.WithStore(func(now time.Duration, store *observation.Store) { store.Observe(now, key, 77) })
	for _, peer := range peers {
		f.eventually("known to all", func() (known bool) {
			peer.WithStore(func(now time.Duration, store *observation.Store) {
				known = store.Assess(now, key).Value == 77
			})
			return known
		})
	}
}

// changeKey changes the key of services from 1 to 2 in the three steps.
func changeKey(t *testing.T, services []*Service) {
	t.Helper()
	for _, keys := range [][][]byte{{testKey(1), testKey(2)}, {testKey(2), testKey(1)}, {testKey(2)}} {
		for _, s := range services {
			if err := s.SetKeys(keys); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// A service without a key, with an invalid key or with an invalid address is not started.
func TestInvalidConfig(t *testing.T) {
	start := func(listen string, keys ...[]byte) error {
		config := Config{Config: gossip.Config{Name: "a"}, Listen: listen, Keys: keys}
		store := observation.New("a", observation.DefaultLimits())
		s, err := New(config, store, slog.New(slog.DiscardHandler))
		if err == nil {
			s.Abort()
		}
		return err
	}
	if err := start("127.0.0.1:0"); !errors.Is(err, ErrNoKeys) {
		t.Errorf("no key: %v", err)
	}
	for _, listen := range []string{"127.0.0.1", "127.0.0.1:http"} {
		if err := start(listen, testKey(1)); err == nil {
			t.Errorf("listens on %s", listen)
		}
	}
	if err := start("127.0.0.1:0", []byte("short")); err == nil {
		t.Error("a key of five bytes is accepted")
	}
}

// Guards against a failed change of keys after which some of the new keys are in use.
func TestWrongKeyChangesNothing(t *testing.T) {
	f := &testFleet{t: t, received: map[string][]string{}}
	s := f.start("a", [][]byte{testKey(1)})
	defer s.Close()
	if err := s.SetKeys([][]byte{testKey(2), []byte("short")}); err == nil {
		t.Error("a key of five bytes is accepted")
	}
	if keys := s.keyring.GetKeys(); len(keys) != 1 || !bytes.Equal(keys[0], testKey(1)) {
		t.Errorf("keys %x in use after a change that failed", keys)
	}
}
