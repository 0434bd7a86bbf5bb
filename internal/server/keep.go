package server

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"

	"cresspass"
	"cresspass/internal/backend/pgbackend"
	"cresspass/internal/config"
	"cresspass/internal/dispatch"
	"cresspass/internal/dispatch/verdict"
	"cresspass/internal/frontend/classify"
	"cresspass/internal/frontend/flightsql"
	"cresspass/internal/frontend/pgfrontend"
	"cresspass/internal/membership/gossip"
	"cresspass/internal/membership/modelstate"
	"cresspass/internal/membership/observation"
	"cresspass/internal/overload"
	"cresspass/internal/recording"
	"cresspass/internal/storage"
)

// What a dispatcher keeps over its death, and how it protects itself. The decisions are in packages state and
// guard.

// recall opens the state, and finds out what was learnt and what must be heeded.
func (s *Server) recall() error {
	s.born = uint64(time.Now().UnixNano())
	if s.cfg.State == "" {
		return nil
	}
	store, book, err := storage.OpenStore(s.cfg.State, s.log)
	if errors.Is(err, storage.ErrHeld) && s.cfg.Heir {
		// The former dispatcher drains yet. What it has learnt is read past it; its folder becomes ours when
		// it ends.
		book = storage.NewBook()
		if records, err := storage.Peek(s.cfg.State); err == nil {
			book.Take(records)
		}
	} else if err != nil {
		return err
	}
	s.store.Store(store)
	now := time.Now()
	// Danger: a clock set back between two lives would have the new one taken for the old, and not heard.
	s.born = max(s.born, book.Born()+1)
	if data, age := book.Learnt(now); data != nil {
		if err := s.former(data, age); err != nil {
			s.log.Warn("what was learnt is not used", "error", err)
		}
	}
	if store != nil {
		s.heed(book)
	}
	return nil
}

// heed has queries heed the loads of a dispatcher that ended.
func (s *Server) heed(book *storage.Book) {
	s.store.Load().Put(storage.Born(s.born))
	r := storage.Return(book, storage.Now(), s.cfg.Module.Rules.OrderRest)
	s.mu.Lock()
	s.returned, s.returnedAt = r, time.Now()
	s.mu.Unlock()
	s.mourn(book)
	if n := r.Left(); n > 0 || !book.Clean() {
		s.log.Info("state of a dispatcher that did not end in good order", "loads without a known end", n)
	}
}

// inherit takes the state folder over once its former holder has let go of it.
func (s *Server) inherit() {
	store, book, err := storage.OpenStore(s.cfg.State, s.log)
	switch {
	case errors.Is(err, storage.ErrHeld):
	case err != nil:
		s.log.Error("state not taken over", "error", err)
	default:
		s.store.Store(store)
		s.heed(book)
	}
}

// learnt keeps what the module has learnt.
func (s *Server) learnt() {
	store := s.store.Load()
	if store == nil && s.peers.Load() == nil {
		return
	}
	var data []byte
	if !s.loop.Ask(func(c *dispatch.Core) { data = c.Snapshot() }) {
		return
	}
	all, err := modelstate.Apart(data)
	if err != nil {
		return // another decider's, of a rehearsal
	}
	var records []observation.Told
	s.with(func(now time.Duration, k *observation.Store) {
		for name, v := range all {
			k.See(now, observation.Key{Fact: observation.Weight, Class: name}, v)
		}
		records = k.Learnt(now)
	})
	if store != nil {
		store.Put(storage.Learnt(time.Now(), bytes.Join(gossip.Encode(records), nil)))
	}
}

// keep closes the state in good order.
func (s *Server) keep() error {
	store := s.store.Load()
	if store == nil {
		return nil
	}
	store.Put(storage.Stopped())
	return store.Close()
}

// watch takes snapshots at their pace, and looks at the loop's lag.
func (s *Server) watch(ctx context.Context) {
	lag := time.NewTicker(100 * time.Millisecond)
	defer lag.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-lag.C:
			s.guarded.Lock()
			in, changed := s.guard.Lag(s.loop.Lag())
			s.guard.Held(pgfrontend.Name, s.front.Pending())
			if s.flight != nil {
				s.guard.Held(flightsql.Name, s.flight.Pending())
			}
			s.guarded.Unlock()
			s.trouble.Store(in)
			if changed {
				s.log.Warn("loop lag", "trouble", in)
			}
			s.visits()
			if s.cfg.State != "" && s.store.Load() == nil {
				s.inherit()
			}
			if s.cfg.Heir && s.cfg.Peers.Listen != "" && s.peers.Load() == nil && ctx.Err() == nil {
				s.join()
			}
			if time.Since(last) >= s.cfg.StateEvery {
				last = time.Now()
				s.learnt()
			}
		}
	}
}

// sending keeps a load that must not run twice, before it is sent. It returns the load's name, 0: none, and a
// channel that is closed once the record of it is durable.
func (s *Server) sending(q *query, engine cresspass.EngineID) (uint64, <-chan struct{}) {
	c := s.classOf(q.class)
	store := s.store.Load()
	if store == nil || c == nil || c.Effect == cresspass.Safe {
		return 0, nil
	}
	id, now := s.nextID.Add(1), storage.Now()
	return id, store.PutDurable(storage.Sent(storage.Load{ID: id, Class: c.Name, Key: q.key, Hash: q.hash(),
		Engine: string(engine), At: now.Wall, Boot: now.Boot, Up: now.Up,
		Window: max(c.Window, s.cfg.Module.Rules.OrderRest), All: c.Scope == cresspass.ScopeAll}))
}

// durableMost is how long a load waits for its record. Danger: one that left before its record was durable is
// not known after a death, and would be sent again inside its window; but a disk that fails must not hold up
// queries.
const durableMost = 100 * time.Millisecond

// afterDurable calls start once a record is durable, or after durableMost. A nil channel is no record.
func (s *Server) afterDurable(durable <-chan struct{}, start func()) {
	if durable == nil {
		start()
		return
	}
	s.work.Add(1) // in the loop's goroutine, which ends before anyone waits for the work
	go func() {
		defer s.work.Done()
		limit := time.NewTimer(durableMost)
		defer limit.Stop()
		select {
		case <-durable:
		case <-limit.C:
			s.undurable.Add(1)
		}
		start()
	}()
}

// sentEnded forgets a load whose end is known. One that ended in doubt stays, until its window is over.
func (s *Server) sentEnded(id uint64, r pgbackend.Result) {
	if store := s.store.Load(); id != 0 && store != nil && (r.Outcome == cresspass.OK ||
		r.Outcome.NeverRan()) {
		store.Put(storage.Ended(id))
	}
}

func (s *Server) classOf(name string) *cresspass.Class {
	for i := range s.cfg.Module.Classes {
		if s.cfg.Module.Classes[i].Name == name {
			return &s.cfg.Module.Classes[i]
		}
	}
	return nil
}

// hash names what a statement does: its text without comments around it, and its parameters.
func (q *query) hash() uint64 {
	d := xxhash.New()
	for i := range q.Ask.Parsed {
		d.WriteString(q.Ask.Parsed[i].Text)
		d.WriteString(";")
	}
	var n [8]byte
	binary.LittleEndian.PutUint64(n[:], uint64(len(q.Ask.Bind)))
	d.Write(n[:])
	d.Write(q.Ask.Bind)
	return d.Sum64()
}

// rest has a query heed what was out when an earlier dispatcher died. It returns true where the query is not
// to be posted now: it waits for its key's rest, or is refused.
func (s *Server) rest(q *query, ev *cresspass.Event) bool {
	q.class, q.key = ev.Class, ev.Key
	if !ev.IsWrite {
		return false
	}
	s.mu.Lock()
	judged, wait := storage.Go, time.Duration(0)
	if s.returned != nil {
		judged, wait = s.returned.Judge(time.Since(s.returnedAt), ev.Class, ev.Key, q.hash())
	}
	s.mu.Unlock()
	if judged == storage.Rest && wait >= ev.TimeLeft {
		judged = storage.Refuse
	}
	switch judged {
	case storage.Rest:
		late := *ev
		late.TimeLeft -= wait
		time.AfterFunc(wait, func() {
			select {
			case <-q.Answer.Ended():
			default:
				s.loop.Post(late)
			}
		})
		return true
	case storage.Refuse:
		s.recorded(q, recording.Refused)
		s.forget(q, true)
		s.end(q, verdict.Earlier(wait))
		return true
	}
	return false
}

// limits are the guard's, of the settings.
func limits(cfg *config.Config) overload.Limits {
	var shares map[string]float64
	if cfg.Flight.Listen != "" { // else there is one front, and all is its
		shares = map[string]float64{pgfrontend.Name: cfg.Shares.PostgreSQL,
			flightsql.Name: cfg.Shares.Flight}
	}
	return overload.Limits{Open: cfg.MaxHeld, HeldBytes: cfg.MaxAnswers, Connections: cfg.MaxClients,
		Shares:  shares,
		PerUser: cfg.MaxPerUser, Lag: cfg.LagLimit, Files: files(), FilesLeft: 64}
}

// takeOn asks the guard for one more query.
func (s *Server) takeOn(q *query) (why string, ok bool) {
	s.guarded.Lock()
	defer s.guarded.Unlock()
	if why, ok = s.guard.Query(q.Front); ok {
		q.taken = true
	}
	return why, ok
}

func (s *Server) admit(user string) (string, bool) {
	s.guarded.Lock()
	defer s.guarded.Unlock()
	all, _ := s.pool.Count()
	return s.guard.Connect(user, s.Clients()+all+16)
}

// room takes one more connection of a front.
func (s *Server) room(front string) bool {
	s.guarded.Lock()
	defer s.guarded.Unlock()
	return s.guard.Room(front)
}

func (s *Server) roomAgain(front string) {
	s.guarded.Lock()
	defer s.guarded.Unlock()
	s.guard.Leave(front)
}

func (s *Server) leave(user string) {
	s.guarded.Lock()
	defer s.guarded.Unlock()
	s.guard.Disconnect(user)
}

// Trouble reports whether the loop lags.
func (s *Server) Trouble() bool { return s.trouble.Load() }

// Drain takes no more clients, tells idle ones to go, and lets what runs end. Idle returns true once nothing
// is left.
func (s *Server) Drain() {
	s.front.Drain()
	if s.flight != nil {
		s.flight.Drain()
	}
}

// Idle reports whether no client is connected and nothing is known of any query.
func (s *Server) Idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.front.Clients() == 0 && (s.flight == nil || s.flight.Clients() == 0) && len(s.queries) == 0
}

// Reload puts other settings in force, whole or not at all, and says what changed. What needs a restart, or a
// hand-over, is an error that names it, and then nothing changes.
func (s *Server) Reload(cfg *config.Config) ([]string, error) {
	s.guarded.Lock()
	defer s.guarded.Unlock()
	changed, restart := config.Compare(s.inForce, cfg)
	if len(restart) > 0 {
		return nil, fmt.Errorf("nothing is changed: %v need a restart", restart)
	}
	s.inForce = cfg
	s.classify.Store(classify.New(cfg))
	s.front.Reload(func(f *pgfrontend.Config) {
		f.MaxClients, f.StartupTimeout, f.HoldBack = cfg.MaxClients, cfg.StartupTimeout, cfg.HoldBack
		f.ClientBuffer = cfg.ClientBuffer
	})
	s.guard.Set(limits(cfg))
	if p := s.peers.Load(); p != nil {
		if err := p.Keys(cfg.Peers.Keys); err != nil {
			return changed, err
		}
	}
	return changed, nil
}

// Cut ends what is left, each query by one answer, so that Idle becomes true.
func (s *Server) Cut() {
	s.mu.Lock()
	var left []*query
	for _, q := range s.queries {
		left = append(left, q)
	}
	s.mu.Unlock()
	for _, q := range left {
		s.mu.Lock()
		v := verdict.Stopping(q.started)
		s.mu.Unlock()
		s.Gone(q.Query, true)
		s.end(q, v)
	}
	s.front.Cut()
	if s.flight != nil {
		s.flight.Cut()
	}
}

// files is how many files the process may have open; 0: not known.
func files() int {
	entries, err := os.ReadFile("/proc/self/limits")
	if err != nil {
		return 0
	}
	return openFiles(entries)
}
