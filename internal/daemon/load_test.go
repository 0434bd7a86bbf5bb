package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

// loadGenerator runs clients that send statements at a steady rate. It counts what was lost: statements that
// were neither answered nor rejected as not run, and connections that were refused.
type loadGenerator struct {
	served, rejected, disconnected, lost, connectFailures atomic.Int64
	stop                                                  chan struct{}
	clients                                               sync.WaitGroup
	mu                                                    sync.Mutex
	firstError                                            error
}

// startLoad starts clients that each send one statement per interval.
func (env *testEnv) startLoad(clients int, every time.Duration) *loadGenerator {
	s := &loadGenerator{stop: make(chan struct{})}
	for range clients {
		s.clients.Add(1)
		go func() {
			defer s.clients.Done()
			ctx := context.Background()
			var c *pgx.Conn
			tick := time.NewTicker(every)
			defer tick.Stop()
			for {
				select {
				case <-s.stop:
					if c != nil {
						_ = c.Close(ctx) // it may be closed already
					}
					return
				case <-tick.C:
				}
				if c == nil {
					var err error
					if c, err = pgx.Connect(ctx,
						"postgres://u@"+env.listen+"/db?"+simpleProtocol); err != nil {
						s.connectFailures.Add(1)
						s.recordFirstError(err)
						c = nil
						continue
					}
				}
				_, err := c.Exec(ctx, "select 1 /*work_ms='1',cost_ms='80'*/")
				switch {
				case err == nil:
					s.served.Add(1)
				case sqlState(err) == "53000": // counts as an answer: on a busy machine engines look slow
					s.rejected.Add(1)
				case sqlState(err) == "57P01": // the statement did not run: the dispatcher drains; reconnect
					s.disconnected.Add(1)
				default:
					s.lost.Add(1)
					s.recordFirstError(err)
				}
				if c.IsClosed() {
					c = nil
				}
			}
		}()
	}
	return s
}

func (s *loadGenerator) recordFirstError(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstError == nil {
		s.firstError = err
	}
}

// end stops the clients. The test fails if anything was lost or nothing was served.
func (s *loadGenerator) end(t *testing.T) {
	t.Helper()
	close(s.stop)
	s.clients.Wait()
	t.Logf("served %d, rejected %d, disconnected %d, lost %d, refused %d", s.served.Load(),
		s.rejected.Load(), s.disconnected.Load(), s.lost.Load(), s.connectFailures.Load())
	if s.lost.Load()+s.connectFailures.Load() > 0 || s.served.Load() == 0 {
		t.Errorf("lost %d, refused %d, served %d: %v", s.lost.Load(), s.connectFailures.Load(),
			s.served.Load(), s.firstError)
	}
}
