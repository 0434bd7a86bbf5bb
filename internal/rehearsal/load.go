package rehearsal

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/lib/pq"

	"cresspass"
)

// Outcome is how a client's try ended.
type Outcome int

// The ends of a try.
const (
	Served    Outcome = iota
	Rejected          // by 53000
	Failed            // any other error
	Abandoned         // the client cancelled it or went away
	outcomeCount
)

// Count is what became of a class's queries. Times are from the intended start to the answer.
type Count struct {
	Class string
	Tries [outcomeCount]int
	Times *hdrhistogram.Histogram // of served ones, in microseconds
}

// workload sends queries at their times, whatever becomes of those before: arrivals never wait for answers.
type workload struct {
	day          *Day
	addrs        []string // the relay before each dispatcher
	flight       []string // the same for Flight SQL
	random       *rand.Rand
	burst        atomic.Uint64 // math.Float64bits of the factor
	hot          atomic.Int64  // dispatcher that gets more than its part, -1: none
	hotFor       atomic.Uint64 // its share
	abandonShare atomic.Uint64 // share of clients that give up early
	heavyTail    atomic.Uint64 // a twentieth of the queries cost so many times as much
	key          atomic.Uint64 // share of the keyed queries with the first key
	shift        atomic.Pointer[Fault]

	mu      sync.Mutex
	counts  map[string]*Count
	idle    []*pool // for each dispatcher
	work    sync.WaitGroup
	nextID  int
	faults  map[string]int // errors that were no answer
	start   time.Time
	samples []Sample
}

// pool keeps a dispatcher's idle clients.
type pool struct {
	mu    sync.Mutex
	free  []client
	total int
}

// client is a connection of some library.
type client interface {
	// do runs a statement; the context's end cancels it.
	do(ctx context.Context, simple bool, text, parameter string) error
	close(hard bool)
	broken() bool
}

func newLoad(d *Day, seed uint64, addrs []string) *workload {
	l := &workload{day: d, addrs: addrs, random: rand.New(rand.NewPCG(seed, 11)), counts: map[string]*Count{},
		faults: map[string]int{}}
	for range addrs {
		l.idle = append(l.idle, &pool{})
	}
	for _, t := range d.Traffic {
		if t.Session {
			l.counts["session"] = &Count{Class: "session", Times: hdrhistogram.New(1, 120_000_000, 3)}
			continue
		}
		l.counts[t.Class] = &Count{Class: t.Class, Times: hdrhistogram.New(1, 120_000_000, 3)}
	}
	l.burst.Store(math.Float64bits(1))
	l.hot.Store(-1)
	l.heavyTail.Store(math.Float64bits(1))
	return l
}

// arrival is one query that a client will ask.
type arrival struct {
	traffic    *Traffic
	at         time.Duration
	dispatcher int
	work       float64
	key        string
	tables     string
	simple     bool
	library    int // 0: pgx, 1: lib/pq, 2: Flight SQL's own client, 3: its driver for database/sql
	giveUp     time.Duration
	hard       bool // it gives up by going away, not by a cancel
}

// run lets clients come until the day is over, and waits for their answers.
func (l *workload) run(ctx context.Context, start time.Time) {
	next := make([]time.Duration, len(l.day.Traffic))
	for i := range l.day.Traffic {
		next[i] = l.nextGap(&l.day.Traffic[i])
	}
	for {
		first := 0
		for i := range next {
			if next[i] < next[first] {
				first = i
			}
		}
		at := next[first]
		if at >= l.day.Length {
			break
		}
		select {
		case <-time.After(time.Until(start.Add(at))):
		case <-ctx.Done():
			l.work.Wait()
			return
		}
		t := &l.day.Traffic[first]
		a := l.drawArrival(t)
		a.at = at
		next[first] += l.nextGap(t)
		l.work.Add(1)
		go func() {
			defer l.work.Done()
			l.sendWithRetries(ctx, start, a)
		}()
	}
	l.work.Wait()
	for _, p := range l.idle {
		for _, c := range p.free {
			c.close(false)
		}
	}
}

func (l *workload) nextGap(t *Traffic) time.Duration {
	if t.Rate <= 0 {
		return l.day.Length
	}
	rate := t.Rate * math.Float64frombits(l.burst.Load())
	if s := l.shift.Load(); s != nil && s.Class == t.Class {
		rate *= s.Size
	} else if s != nil {
		rate /= 2
	}
	return time.Duration(l.random.ExpFloat64() / rate * float64(time.Second))
}

func (l *workload) drawArrival(t *Traffic) arrival {
	r := l.random
	a := arrival{traffic: t, dispatcher: r.IntN(len(l.addrs)), simple: r.IntN(2) == 0, library: r.IntN(3) / 2}
	if hot := l.hot.Load(); hot >= 0 && r.Float64() < math.Float64frombits(l.hotFor.Load()) {
		a.dispatcher = int(hot)
	}
	a.work = t.Work * math.Exp(r.NormFloat64()*t.Spread-t.Spread*t.Spread/2)
	if r.IntN(20) == 0 {
		a.work *= math.Float64frombits(l.heavyTail.Load())
	}
	if t.Keys > 0 {
		a.key = fmt.Sprintf("k%d", r.IntN(t.Keys))
		if r.Float64() < math.Float64frombits(l.key.Load()) {
			a.key = "k0"
		}
	}
	if t.Tables > 0 {
		a.tables = fmt.Sprintf("t%d", int(float64(t.Tables)*math.Pow(r.Float64(), 2)))
	}
	if l.day.Flight > 0 && r.Float64() < l.day.Flight {
		a.simple, a.library = true, 2+r.IntN(2)
		if t.Session {
			a.library = 2
		}
	}
	if r.Float64() < math.Float64frombits(l.abandonShare.Load()) {
		a.giveUp = time.Duration(r.Float64() * 2 * a.work * float64(time.Second))
		a.hard = r.IntN(2) == 0
	}
	return a
}

// sendWithRetries puts a query, again where it was refused and the class's clients do so.
func (l *workload) sendWithRetries(ctx context.Context, start time.Time, a arrival) {
	intended := start.Add(a.at)
	var class time.Duration
	for _, c := range l.day.Module.Classes {
		if c.Name == a.traffic.Class {
			class = c.Deadline
		}
	}
	until := intended.Add(class)
	for try := 0; ; try++ {
		end, err := l.sendOnce(ctx, a, try, until)
		l.recordOutcome(a, end, time.Since(intended), err)
		var pe *pgconn.PgError
		if end != Rejected || try >= a.traffic.Repeats {
			return
		}
		wait := 200 * time.Millisecond
		if errors.As(err, &pe) && pe.Hint != "" {
			var ms int
			if _, err := fmt.Sscanf(pe.Hint, "Come back in %d ms.", &ms); err == nil {
				wait = time.Duration(ms) * time.Millisecond
			}
		}
		if time.Until(until) < wait {
			return
		}
		if ms := flightWait(err); ms > 0 {
			wait = time.Duration(ms) * time.Millisecond
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

func (l *workload) recordOutcome(a arrival, end Outcome, took time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	class := a.traffic.Class
	if a.traffic.Session {
		class = "session"
	}
	c := l.counts[class]
	l.samples = append(l.samples, Sample{At: max(0, time.Since(l.start)), Class: class, End: end, Took: took,
		Dispatcher: a.dispatcher})
	if c.Tries[end]++; end == Served {
		c.Times.RecordValue(took.Microseconds())
	}
	if end == Failed {
		l.faults[sqlState(err)]++
	}
}

// sqlState is the SQLSTATE of an error, or its text.
func sqlState(err error) string {
	var e *pgconn.PgError
	var p *pq.Error
	switch {
	case errors.As(err, &e):
		return e.Code
	case errors.As(err, &p):
		return string(p.Code)
	}
	if c := flightCode(err); c != "" {
		return c
	}
	return "connection"
}

func (l *workload) sendOnce(ctx context.Context, a arrival, try int, until time.Time) (Outcome, error) {
	left := time.Until(until)
	if left <= 0 {
		return Abandoned, nil
	}
	l.mu.Lock()
	l.nextID++
	id := fmt.Sprintf("q%d-%d", l.nextID, try)
	l.mu.Unlock()
	c, err := l.client(ctx, a)
	if err != nil {
		return Failed, err
	}
	wait := left + 2*time.Second // the dispatcher's own grace is its matter; this ends what it lost
	if a.giveUp > 0 {
		wait = a.giveUp
	}
	limit, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if a.traffic.Session {
		err = l.transaction(limit, c, a, id, left)
	} else if a.giveUp > 0 && a.hard {
		stop := context.AfterFunc(limit, func() { c.close(true) })
		defer stop()
		err = c.do(ctx, a.simple, l.statementText(a, id, try, left, a.simple), l.parameter(a, id, try, left))
	} else {
		err = c.do(limit, a.simple, l.statementText(a, id, try, left, a.simple), l.parameter(a, id, try,
			left))
	}
	gaveUp := limit.Err() != nil
	if err != nil && (gaveUp || c.broken()) {
		c.close(true)
		l.dropClient(a)
	} else {
		l.returnClient(a, c)
	}
	switch {
	case err == nil:
		return Served, nil
	case sqlState(err) == "53000":
		return Rejected, err
	case gaveUp && a.giveUp > 0:
		return Abandoned, err
	}
	return Failed, err
}

// transaction is a session of its own: a transaction of some statements, the last of which commits. Each
// statement has a name of its own, and the session's.
func (l *workload) transaction(
	ctx context.Context,
	c client,
	a arrival,
	id string,
	left time.Duration,
) error {
	for n, text := range []string{"begin", "insert into t select 1", "select n, value from t", "commit"} {
		tags := fmt.Sprintf(
			" /*id='%s-%d',session='%s',class='%s',work_ms='%.3f'*/",
			id,
			n,
			id,
			a.traffic.Class,
			a.work*1000/2,
		)
		if err := c.do(ctx, true, text+tags, ""); err != nil {
			if n > 0 && !c.broken() {
				c.do(ctx, true, "rollback", "")
			}
			return err
		}
	}
	return nil
}

// statementTags lists what a statement tells of itself, in pairs.
func (l *workload) statementTags(a arrival, id string, try int, left time.Duration) [][2]string {
	out := [][2]string{{"id", id}, {"class", a.traffic.Class}, {"work_ms", fmt.Sprintf("%.3f", a.work*1000)},
		{"threads", fmt.Sprint(a.traffic.Threads)}, {"rows", fmt.Sprint(a.traffic.Rows)}}
	if a.traffic.Told > 0 {
		out = append(out, [2]string{"cost_ms", fmt.Sprintf("%.3f", a.work*a.traffic.Told*1000)})
	}
	if a.key != "" {
		out = append(out, [2]string{"key", a.key})
	}
	if a.tables != "" {
		out = append(out, [2]string{"tables", a.tables})
	}
	if a.traffic.Loads {
		out = append(out, [2]string{"loads", "1"})
	}
	if try > 0 {
		out = append(out, [2]string{"repeat", fmt.Sprint(try)}, [2]string{"wait_ms",
			fmt.Sprint(left.Milliseconds())})
	}
	return out
}

// statementText is the statement. Prepared ones are alike for all of a class and say the rest in their
// parameter, except that what the dispatcher must read stands in a comment.
func (l *workload) statementText(a arrival, id string, try int, left time.Duration, simple bool) string {
	head := "select n, value from t where id = "
	if a.traffic.Loads || a.traffic.Writes {
		head = "insert into t select "
	}
	if simple {
		s := head + "1 /*"
		for i, p := range l.statementTags(a, id, try, left) {
			if i > 0 {
				s += ","
			}
			s += p[0] + "='" + p[1] + "'"
		}
		return s + "*/"
	}
	s := head + "$1::text /*class='" + a.traffic.Class + "'"
	if a.key != "" {
		s += ",key='" + a.key + "'"
	}
	if try > 0 {
		s += fmt.Sprintf(",repeat='1',wait_ms='%d'", left.Milliseconds())
	}
	return s + "*/"
}

func (l *workload) parameter(a arrival, id string, try int, left time.Duration) string {
	if a.simple {
		return ""
	}
	s := id
	for _, p := range l.statementTags(a, id, try, left)[1:] {
		s += ";" + p[0] + "=" + p[1]
	}
	return s
}

// client takes an idle connection to the arrival's dispatcher, or makes one.
func (l *workload) client(ctx context.Context, a arrival) (client, error) {
	p := l.idle[a.dispatcher]
	p.mu.Lock()
	for i := len(p.free) - 1; i >= 0; i-- {
		c := p.free[i]
		if driverOf(c) == a.library {
			p.free = append(p.free[:i], p.free[i+1:]...)
			p.mu.Unlock()
			return c, nil
		}
	}
	p.total++
	p.mu.Unlock()
	limit, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	switch a.library {
	case 2:
		return newFlight(limit, l.flight[a.dispatcher])
	case 3:
		return newSQL(limit, l.flight[a.dispatcher])
	}
	url := "postgres://client@" + l.addrs[a.dispatcher] + "/search?sslmode=disable"
	if a.library == 1 {
		return newPq(limit, url)
	}
	c, err := pgx.Connect(limit, url)
	if err != nil {
		return nil, err
	}
	return &pgxClient{c}, nil
}

func (l *workload) returnClient(a arrival, c client) {
	p := l.idle[a.dispatcher]
	p.mu.Lock()
	p.free = append(p.free, c)
	p.mu.Unlock()
}

func (l *workload) dropClient(a arrival) {
	p := l.idle[a.dispatcher]
	p.mu.Lock()
	p.total--
	p.mu.Unlock()
}

// driverOf is which of the libraries a client is of.
func driverOf(c client) int {
	switch c.(type) {
	case *pqClient:
		return 1
	case *flightClient:
		return 2
	case *sqlClient:
		return 3
	}
	return 0
}

type pgxClient struct{ conn *pgx.Conn }

func (p *pgxClient) do(ctx context.Context, simple bool, text, parameter string) error {
	var args []any
	if simple {
		args = append(args, pgx.QueryExecModeSimpleProtocol)
	} else {
		args = append(args, parameter)
	}
	_, err := p.conn.Exec(ctx, text, args...)
	return err
}

func (p *pgxClient) close(hard bool) {
	if hard {
		p.conn.PgConn().Conn().Close()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	p.conn.Close(ctx)
}

func (p *pgxClient) broken() bool { return p.conn.IsClosed() }

// pqClient is one connection of lib/pq, through database/sql as its users have it.
type pqClient struct {
	db   *sql.DB
	c    *sql.Conn
	nc   net.Conn
	gone atomic.Bool
}

// DialContext keeps the network's connection, so that a client can go away in the middle of a query.
func (p *pqClient) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	nc, err := (&net.Dialer{}).DialContext(ctx, network, address)
	p.nc = nc
	return nc, err
}

// Dial and DialTimeout make it a pq.Dialer.
func (p *pqClient) Dial(network, address string) (net.Conn, error) {
	return p.DialContext(context.Background(), network, address)
}

// DialTimeout dials within a time.
func (p *pqClient) DialTimeout(network, address string, limit time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return p.DialContext(ctx, network, address)
}

func newPq(ctx context.Context, url string) (*pqClient, error) {
	connector, err := pq.NewConnector(url)
	if err != nil {
		return nil, err
	}
	p := &pqClient{}
	connector.Dialer(p)
	p.db = sql.OpenDB(connector)
	if p.c, err = p.db.Conn(ctx); err != nil {
		p.db.Close()
		return nil, err
	}
	return p, nil
}

func (p *pqClient) do(ctx context.Context, simple bool, text, parameter string) error {
	var args []any
	if !simple {
		args = append(args, parameter)
	}
	_, err := p.c.ExecContext(ctx, text, args...)
	if err != nil && sqlState(err) == "connection" {
		p.gone.Store(true)
	}
	return err
}

func (p *pqClient) close(hard bool) {
	p.gone.Store(true)
	if hard {
		p.nc.Close()
	}
	p.c.Close()
	p.db.Close()
}

func (p *pqClient) broken() bool { return p.gone.Load() }

// Load asks dispatchers at addrs for a time, open loop, and returns what became of it by class, and failures
// by code. Deadlines are those of the classes named.
func Load(ctx context.Context, addrs []string, traffic []Traffic, deadline, length time.Duration,
	seed uint64) ([]Count, map[string]int) {
	d := &Day{Traffic: traffic, Length: length}
	for _, t := range traffic {
		d.Module.Classes = append(d.Module.Classes, cresspass.Class{Name: t.Class, Deadline: deadline})
	}
	l := newLoad(d, seed, addrs)
	l.start = time.Now()
	l.run(ctx, l.start)
	var out []Count
	for _, t := range traffic {
		out = append(out, *l.counts[t.Class])
	}
	return out, l.faults
}
