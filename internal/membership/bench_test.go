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

// countingTransport counts what a transport sends in packets; streams are of joins and exchanges of state
// now and then.
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

// BenchmarkFleet has members of a fleet begin at once on memberlist as it is, encrypted, over a network
// within the process, and tells when all agree on ordinals and count, and what each then says a second,
// membership and digests together.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{10, 50, 200, 500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				var bytes atomic.Int64
				engines := map[cresspass.EngineID]float64{}
				for i := range 63 {
					engines[cresspass.EngineID(fmt.Sprint("10.0.0.", i, ":5432"))] = 16
				}
				var all []*Service
				begin := time.Now()
				for i := range n {
					name := fmt.Sprintf("d%03d", i)
					transport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
						BindAddrs: []string{"127.0.0.1"}, Logger: log.New(io.Discard, "", 0)})
					if err != nil {
						b.Fatal(err)
					}
					p, err := New(
						Config{
							Config: gossip.Config{
								Name:           name,
								Incarnation:    1,
								OrdinalClaim:   -1,
								BytesPerSecond: 50000,
								Validation:     validation.DefaultLimits(2),
								RandomSeed:     uint64(i),
								Ordinals: ordinal.Limits{
									SettleTime: 2 * time.Second,
									LossGrace:  30 * time.Second,
									MinCount:   1,
								},
							},
							Listen:    fmt.Sprint("127.0.0.1:", transport.GetAutoBindPort()),
							Keys:      [][]byte{key(1)},
							Seeds:     seeds(all),
							Transport: countingTransport{transport, &bytes},
						},
						observation.New(name, observation.DefaultLimits()),
						slog.New(slog.NewTextHandler(io.Discard, nil)),
					)
					if err != nil {
						b.Fatal(err)
					}
					p.SetEngines(engines)
					all = append(all, p)
				}
				b.ReportMetric(time.Since(begin).Seconds(), "s-to-start")
				for !converged(all) && time.Since(begin) < 3*time.Minute {
					time.Sleep(100 * time.Millisecond)
				}
				b.ReportMetric(time.Since(begin).Seconds(), "s-to-agree")
				bytes.Store(0)
				time.Sleep(5 * time.Second)
				b.ReportMetric(float64(bytes.Load())/5/float64(n), "bytes/s/member")
				var wg sync.WaitGroup
				for _, p := range all {
					wg.Add(1)
					go func() {
						defer wg.Done()
						p.Abort()
					}()
				}
				wg.Wait()
			}
		})
	}
}

func seeds(all []*Service) []string {
	if len(all) == 0 {
		return nil
	}
	return []string{all[0].Addr()}
}
