package membership

import (
	"fmt"
	"io"
	"log"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"cresspass"
	"cresspass/internal/membership/gossip"
	"cresspass/internal/membership/observation"
	"cresspass/internal/membership/ordinal"
	"cresspass/internal/membership/validation"
)

// countingTransport counts the bytes of packets. It does not count streams, which memberlist uses for joins
// and occasional exchanges of state.
type countingTransport struct {
	*memberlist.NetTransport
	bytes *atomic.Int64
}

func (c countingTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	c.bytes.Add(int64(len(b)))
	return c.NetTransport.WriteTo(b, addr)
}

func (c countingTransport) WriteToAddress(b []byte, addr memberlist.Address) (time.Time, error) {
	c.bytes.Add(int64(len(b)))
	return c.NetTransport.WriteToAddress(b, addr)
}

// BenchmarkFleet starts the members of a fleet one after another, with encryption, over loopback sockets.
// It reports the seconds until all members are started, the seconds until all agree on ordinals and count,
// and how many bytes a second each member then sends, for membership and digests together.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{10, 50, 200, 500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				benchmarkFleet(b, n)
			}
		})
	}
}

func benchmarkFleet(b *testing.B, n int) {
	var bytesSent atomic.Int64
	engines := map[cresspass.EngineID]float64{}
	for i := range 63 {
		engines[cresspass.EngineID(fmt.Sprint("10.0.0.", i, ":5432"))] = 16
	}
	var all []*Service
	begin := time.Now()
	for i := range n {
		s := startCounted(b, i, seedsOf(all), &bytesSent)
		s.SetEngines(engines)
		all = append(all, s)
	}
	b.ReportMetric(time.Since(begin).Seconds(), "s-to-start")
	for !converged(all) && time.Since(begin) < 3*time.Minute {
		time.Sleep(100 * time.Millisecond)
	}
	b.ReportMetric(time.Since(begin).Seconds(), "s-to-agree")
	bytesSent.Store(0)
	time.Sleep(5 * time.Second)
	b.ReportMetric(float64(bytesSent.Load())/5/float64(n), "bytes/s/member")
	var wg sync.WaitGroup
	for _, s := range all {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.Abort()
		}()
	}
	wg.Wait()
}

// startCounted starts one member and counts the bytes of its packets.
func startCounted(b *testing.B, number int, seeds []string, bytesSent *atomic.Int64) *Service {
	b.Helper()
	name := fmt.Sprintf("d%03d", number)
	transport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{"127.0.0.1"}, Logger: log.New(io.Discard, "", 0)})
	if err != nil {
		b.Fatal(err)
	}
	s, err := New(Config{
		Config: gossip.Config{
			Name:           name,
			Incarnation:    1,
			OrdinalClaim:   ordinal.Unassigned,
			BytesPerSecond: 50000,
			Validation:     validation.DefaultLimits(2),
			RandomSeed:     uint64(number),
			Ordinals: ordinal.Limits{SettleTime: 2 * time.Second, LossGrace: 30 * time.Second,
				MinCount: 1},
		},
		Listen:    fmt.Sprint("127.0.0.1:", transport.GetAutoBindPort()),
		Keys:      [][]byte{testKey(1)},
		Seeds:     seeds,
		Transport: countingTransport{transport, bytesSent},
	}, observation.New(name, observation.DefaultLimits()), slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		b.Fatal(err)
	}
	return s
}

// seedsOf returns the address of the first member; nil: there is none.
func seedsOf(all []*Service) []string {
	if len(all) == 0 {
		return nil
	}
	return []string{all[0].Addr()}
}
