package server_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"cresspass/internal/config"
	"cresspass/internal/rehearsal"
	"cresspass/internal/rehearsal/rulecheck"
	"cresspass/internal/rehearsal/testbed"
	"cresspass/internal/standin"
)

// TestThousandsOfRequests sends thousands of mixed requests over both query protocols while engines fail. It
// checks, by relays on both sides of the dispatcher, that each request has exactly one final response, that
// every rule is kept, and that no write has its effect twice.
func TestThousandsOfRequests(t *testing.T) {
	total := 6000
	if testing.Short() {
		total = 600
	}
	cfg := make([]standin.EngineConfig, 4)
	for i := range cfg {
		cfg[i] = standin.EngineConfig{Kind: testbed.EngineKind(16, 8192), Window: 15 * time.Second, Seed: 5}
	}
	r, err := testbed.New(cfg...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	recorder := rulecheck.NewRecorder()
	endpoints := map[string]rulecheck.Endpoint{}
	var relays []*rulecheck.Relay
	for _, e := range r.Engines {
		relay, err := recorder.NewRelay(rulecheck.Engines, "", e.Addr())
		if err != nil {
			t.Fatal(err)
		}
		relays = append(relays, relay)
		e.Entry.Address = relay.Addr()
		endpoints[relay.Addr()] = rulecheck.Endpoint{Zone: "a", Kind: "std", Cores: 16}
	}
	r.Publish()
	settings := strings.Replace(baseSettings, "engines {", "engines {\n  user = \"d0\"", 1)
	s, err := r.StartDispatcher(settings, nil)
	if err != nil {
		t.Fatal(err)
	}
	clientRelay, err := recorder.NewRelay(rulecheck.Clients, "d0", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	listedAt := time.Now()
	r.Engines[1].SetFaults(standin.Faults{Cut: 0.05, ErrorShare: 0.05})
	r.Engines[2].SetFaults(standin.Faults{LoseShare: 0.02, SlowCancel: 30 * time.Millisecond})
	outcomes := runMixedRequests(t, clientRelay.Addr(), total, func(i int) {
		if i == total/2 {
			r.Engines[3].Crash()
		}
	})
	eventually(t, "all ended", func() bool { return s.Stats().Open == 0 })
	st := s.Stats()
	s.Close()
	clientRelay.Close()
	for _, relay := range relays {
		relay.Close()
	}
	log := recorder.Stop(20 * time.Second)
	log.Notifications = []rulecheck.Notification{{At: listedAt, Dispatcher: "d0", Engines: endpoints}}
	parsed, err := config.Parse("x", []byte(baseSettings+"\nroster { eds = \"127.0.0.1:1\" }"))
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range rulecheck.Check(rehearsal.ParametersFromConfig(&parsed.Module), log) {
		if !v.Judged || !v.Kept {
			t.Error(v)
		}
	}
	timeouts := 0 // clients that gave up, some of them before their request was sent
	for outcome, n := range outcomes {
		if strings.HasPrefix(outcome, "timeout") {
			timeouts += n
		}
	}
	if len(log.Requests) > total || len(log.Requests) < total-timeouts || st.Overdue != 0 {
		t.Errorf("relays saw %d of %d requests, %d clients gave up; stats %+v", len(log.Requests), total,
			timeouts, st)
	}
	if outcomes["<nil>"] < total*8/10 {
		t.Errorf("served %d of %d: %v", outcomes["<nil>"], total, outcomes)
	}
	for id, times := range r.Group.Ran() {
		if len(times) > 1 {
			t.Errorf("write %s had its effect %d times", id, len(times))
		}
	}
	t.Logf("outcomes %v, stats %+v", outcomes, st)
}

// runMixedRequests sends requests from concurrent clients. Before it sends a request, it calls the function
// before with the request's number. It returns the number of requests by SQLSTATE or error text.
func runMixedRequests(t *testing.T, addr string, total int, before func(i int)) map[string]int {
	t.Helper()
	var wg sync.WaitGroup
	next := make(chan int)
	outcomes := map[string]int{}
	var mu sync.Mutex
	for range 48 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var c *pgx.Conn
			defer func() {
				if c != nil {
					c.Close(context.Background())
				}
			}()
			for i := range next {
				if c == nil || c.IsClosed() {
					var err error
					if c, err = pgx.Connect(context.Background(),
						"postgres://u@"+addr+"/db?sslmode=disable"); err != nil {
						t.Error(err)
						return
					}
				}
				err := runMixedRequest(c, i)
				mu.Lock()
				outcomes[sqlState(err)]++
				mu.Unlock()
			}
		}()
	}
	for i := range total {
		before(i)
		next <- i
	}
	close(next)
	wg.Wait()
	return outcomes
}

// runMixedRequest sends request i: a lookup, a report, a load or a write, over the simple or the extended
// protocol. Some of the requests have a timeout of a few milliseconds.
func runMixedRequest(c *pgx.Conn, i int) error {
	ctx := context.Background()
	class, head, more := "lookup", "select n, value from t where id = ", ",rows='3',work_ms='5'"
	switch i % 10 {
	case 6:
		more = ",rows='300',row_bytes='100',work_ms='20'"
	case 7, 8:
		class, head, more = "index-load", "insert into t select ",
			fmt.Sprintf(",loads='1',work_ms='10',key='k%d',tables='t%d'", i%7, i%7)
	case 9:
		class, head, more = "write", "insert into t select ", ",work_ms='5'"
	}
	if i%37 == 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(rand.IntN(8))*time.Millisecond)
		defer cancel()
	}
	tags := fmt.Sprintf("id='r%d',class='%s'%s", i, class, more)
	if i%2 == 0 {
		_, err := c.Exec(ctx, head+"1 /*"+tags+"*/", pgx.QueryExecModeSimpleProtocol)
		return err
	}
	key := ""
	if class == "index-load" {
		key = fmt.Sprintf(",key='k%d'", i%7)
	}
	parameter := strings.NewReplacer("','", ";", "',", ";", "='", "=", "'", "").Replace(tags)
	parameter = strings.TrimPrefix(parameter, "id=")
	_, err := c.Exec(ctx, head+"$1::text /*class='"+class+"'"+key+"*/", parameter)
	return err
}
