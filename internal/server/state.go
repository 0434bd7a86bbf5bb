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

// openState opens the state, and finds out what was learnt and what must be heeded.
func (s *Server) openState() error {
	s.incarnation = uint64(time.Now().UnixNano())
	if s.cfg.StateDir == "" {
		return nil
	}
	store, book, err := storage.OpenStore(s.cfg.StateDir, s.log)
	if errors.Is(err, storage.ErrLocked) && s.cfg.TakingOver {
		// The former dispatcher drains yet. What it has learnt is read past it; its folder becomes ours when
		// it ends.
		book = storage.NewState()
		if records, err := storage.ReadUnlocked(s.cfg.StateDir); err == nil {
			book.Apply(records)
		}
	} else if err != nil {
		return err
	}
	s.store.Store(store)
	now := time.Now()
	// Danger: a clock set back between two lives would have the new one taken for the old, and not heard.
	s.incarnation = max(s.incarnation, book.LastIncarnation()+1)
	if data, age := book.ModelState(now); data != nil {
		if err := s.restoreLearned(data, age); err != nil {
			s.log.Warn("what was learnt is not used", "error", err)
		}
	}
	if store != nil {
		s.recoverFrom(book)
	}
	return nil
}

// recoverFrom has queries heed the loads of a dispatcher that ended.
func (s *Server) recoverFrom(book *storage.State) {
	s.store.Load().Put(storage.IncarnationNumberRecord(s.incarnation))
	r := storage.NewRecoveryGuard(book, storage.Now(), s.cfg.Module.Rules.OrderSettleDelay)
	s.mu.Lock()
	s.recovery, s.recoveredAt = r, time.Now()
	s.mu.Unlock()
	s.startOrphanCleanup(book)
	if n := r.Remaining(); n > 0 || !book.CleanShutdown() {
		s.log.Info("state of a dispatcher that did not end in good order", "loads without a known end", n)
	}
}

// takeOverState takes the state folder over once its former holder has let go of it.
func (s *Server) takeOverState() {
	store, book, err := storage.OpenStore(s.cfg.StateDir, s.log)
	switch {
	case errors.Is(err, storage.ErrLocked):
	case err != nil:
		s.log.Error("state not taken over", "error", err)
	default:
		s.store.Store(store)
		s.recoverFrom(book)
	}
}

// saveLearned keeps what the module has learnt.
func (s *Server) saveLearned() {
	store := s.store.Load()
	if store == nil && s.membership.Load() == nil {
		return
	}
	var data []byte
	if !s.loop.Inspect(func(c *dispatch.Core) { data = c.Snapshot() }) {
		return
	}
	all, err := modelstate.Flatten(data)
	if err != nil {
		return // another decider's, of a rehearsal
	}
	var records []observation.Observation
	s.withObservations(func(now time.Duration, k *observation.Store) {
		for name, v := range all {
			k.Observe(now, observation.Key{Property: observation.ModelParameter, Parameter: name}, v)
		}
		records = k.OwnModelParameters(now)
	})
	if store != nil {
		store.Put(storage.ModelStateRecord(time.Now(), bytes.Join(gossip.EncodeObservations(records), nil)))
	}
}

// closeState closes the state in good order.
func (s *Server) closeState() error {
	store := s.store.Load()
	if store == nil {
		return nil
	}
	store.Put(storage.CleanShutdownRecord())
	return store.Close()
}

// runMaintenance takes snapshots at their pace, and looks at the loop's lag.
func (s *Server) runMaintenance(ctx context.Context) {
	lag := time.NewTicker(100 * time.Millisecond)
	defer lag.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-lag.C:
			s.overloadLock.Lock()
			in, changed := s.overloadGuard.ObserveLag(s.loop.TakeLongestStep())
			s.overloadGuard.SetBufferedBytes(pgfrontend.Name, s.pgFrontend.Pending())
			if s.flightFrontend != nil {
				s.overloadGuard.SetBufferedBytes(flightsql.Name, s.flightFrontend.Pending())
			}
			s.overloadLock.Unlock()
			s.loopLagging.Store(in)
			if changed {
				s.log.Warn("loop lag", "trouble", in)
			}
			s.runOrphanCleanup()
			if s.cfg.StateDir != "" && s.store.Load() == nil {
				s.takeOverState()
			}
			if s.cfg.TakingOver && s.cfg.Peers.Listen != "" && s.membership.Load() == nil &&
				ctx.Err() == nil {
				s.joinMembership()
			}
			if time.Since(last) >= s.cfg.SnapshotInterval {
				last = time.Now()
				s.saveLearned()
			}
		}
	}
}

// recordSent keeps a load that must not run twice, before it is sent. It returns the load's name, 0: none,
// and a channel that is closed once the record of it is durable.
func (s *Server) recordSent(q *queryRowCount, engine cresspass.EngineID) (uint64, <-chan struct{}) {
	c := s.classOf(q.class)
	store := s.store.Load()
	if store == nil || c == nil || c.Effect == cresspass.Idempotent {
		return 0, nil
	}
	id, now := s.nextID.Add(1), storage.Now()
	return id, store.PutDurable(
		storage.WriteSentRecord(storage.WriteAttempt{ID: id, Class: c.Name, Key: q.key, Hash: q.contentHash(),
			Engine: string(engine), SentAt: now.Wall, BootID: now.BootID, SentSinceBoot: now.SinceBoot,
			Window: max(
				c.DeduplicationWindow,
				s.cfg.Module.Rules.OrderSettleDelay,
			), AllEngines: c.DeduplicationScope == cresspass.ScopeAll}),
	)
}

// maxDurableWait is how long a load waits for its record. Danger: one that left before its record was
// durable is not known after a death, and would be sent again inside its window; but a disk that fails must
// not hold up queries.
const maxDurableWait = 100 * time.Millisecond

// afterDurable calls start once a record is durable, or after maxDurableWait. A nil channel is no record.
func (s *Server) afterDurable(durable <-chan struct{}, start func()) {
	if durable == nil {
		start()
		return
	}
	s.background.Add(1) // in the loop's goroutine, which ends before anyone waits for the work
	go func() {
		defer s.background.Done()
		limit := time.NewTimer(maxDurableWait)
		defer limit.Stop()
		select {
		case <-durable:
		case <-limit.C:
			s.sentBeforeDurable.Add(1)
		}
		start()
	}()
}

// recordSentOutcome forgets a load whose end is known. One that ended in doubt stays, until its window is
// over.
func (s *Server) recordSentOutcome(id uint64, r pgbackend.Result) {
	if store := s.store.Load(); id != 0 && store != nil && (r.Outcome == cresspass.OutcomeOK ||
		r.Outcome.NeverRan()) {
		store.Put(storage.WriteEndedRecord(id))
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

// contentHash names what a statement does: its text without comments around it, and its parameters.
func (q *queryRowCount) contentHash() uint64 {
	d := xxhash.New()
	for i := range q.EngineQuery.Parsed {
		d.WriteString(q.EngineQuery.Parsed[i].Text)
		d.WriteString(";")
	}
	var n [8]byte
	binary.LittleEndian.PutUint64(n[:], uint64(len(q.EngineQuery.BindBody)))
	d.Write(n[:])
	d.Write(q.EngineQuery.BindBody)
	return d.Sum64()
}

// delayForRecovery has a query heed what was out when an earlier dispatcher died. It returns true where the
// query is not to be posted now: it waits for its key's rest, or is refused.
func (s *Server) delayForRecovery(q *queryRowCount, ev *cresspass.Event) bool {
	q.class, q.key = ev.Class, ev.Key
	if !ev.IsWrite {
		return false
	}
	s.mu.Lock()
	decision, wait := storage.Allow, time.Duration(0)
	if s.recovery != nil {
		decision, wait = s.recovery.Check(time.Since(s.recoveredAt), ev.Class, ev.Key, q.contentHash())
	}
	s.mu.Unlock()
	if decision == storage.Delay && wait >= ev.RemainingDeadline {
		decision = storage.Reject
	}
	switch decision {
	case storage.Delay:
		delayed := *ev
		delayed.RemainingDeadline -= wait
		time.AfterFunc(wait, func() {
			select {
			case <-q.Response.Done():
			default:
				s.loop.Post(delayed)
			}
		})
		return true
	case storage.Reject:
		s.finishRecording(q, recording.Rejected)
		s.forget(q, true)
		s.respond(q, verdict.RejectAfterRestart(wait))
		return true
	}
	return false
}

// overloadLimits are the guard's, of the settings.
func overloadLimits(cfg *config.Config) overload.Limits {
	var shares map[string]float64
	if cfg.Flight.Listen != "" { // else there is one front, and all is its
		shares = map[string]float64{pgfrontend.Name: cfg.FrontQuotas.PostgreSQL,
			flightsql.Name: cfg.FrontQuotas.Flight}
	}
	return overload.Limits{
		OpenQueries:         cfg.MaxOpenQueries,
		BufferedBytes:       cfg.MaxBufferedBytes,
		Connections:         cfg.MaxClients,
		FrontQuotas:         shares,
		ConnectionsPerUser:  cfg.MaxConnectionsPerUser,
		LoopLag:             cfg.LagLimit,
		FileDescriptors:     openFileLimit(),
		ReservedDescriptors: 64,
	}
}

// admitQuery asks the guard for one more query.
func (s *Server) admitQuery(q *queryRowCount) (reason string, ok bool) {
	s.overloadLock.Lock()
	defer s.overloadLock.Unlock()
	if reason, ok = s.overloadGuard.AcquireQuery(q.Frontend); ok {
		q.admitted = true
	}
	return reason, ok
}

func (s *Server) admitClient(user string) (string, bool) {
	s.overloadLock.Lock()
	defer s.overloadLock.Unlock()
	all, _ := s.pool.ConnectionCounts()
	return s.overloadGuard.AcquireUserConnection(user, s.Clients()+all+16)
}

// admitConnection takes one more connection of a front.
func (s *Server) admitConnection(front string) bool {
	s.overloadLock.Lock()
	defer s.overloadLock.Unlock()
	return s.overloadGuard.AcquireConnection(front)
}

func (s *Server) releaseConnection(front string) {
	s.overloadLock.Lock()
	defer s.overloadLock.Unlock()
	s.overloadGuard.ReleaseConnection(front)
}

func (s *Server) releaseClient(user string) {
	s.overloadLock.Lock()
	defer s.overloadLock.Unlock()
	s.overloadGuard.ReleaseUserConnection(user)
}

// LoopLagging reports whether the loop lags.
func (s *Server) LoopLagging() bool { return s.loopLagging.Load() }

// Drain takes no more clients, tells idle ones to go, and lets what runs end. Idle returns true once nothing
// is left.
func (s *Server) Drain() {
	s.pgFrontend.Drain()
	if s.flightFrontend != nil {
		s.flightFrontend.Drain()
	}
}

// Idle reports whether no client is connected and nothing is known of any query.
func (s *Server) Idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pgFrontend.Clients() == 0 && (s.flightFrontend == nil || s.flightFrontend.Clients() == 0) &&
		len(s.queries) == 0
}

// Reload puts other settings in force, whole or not at all, and says what changed. What needs a restart, or a
// hand-over, is an error that names it, and then nothing changes.
func (s *Server) Reload(cfg *config.Config) ([]string, error) {
	s.overloadLock.Lock()
	defer s.overloadLock.Unlock()
	changed, restart := config.Compare(s.activeConfig, cfg)
	if len(restart) > 0 {
		return nil, fmt.Errorf("nothing is changed: %v need a restart", restart)
	}
	s.activeConfig = cfg
	s.classify.Store(classify.New(cfg))
	s.pgFrontend.Reload(func(f *pgfrontend.Config) {
		f.MaxClients, f.StartupTimeout, f.HoldBack = cfg.MaxClients, cfg.StartupTimeout, cfg.HoldBack
		f.ClientBuffer = cfg.ClientBuffer
	})
	s.overloadGuard.SetLimits(overloadLimits(cfg))
	if p := s.membership.Load(); p != nil {
		if err := p.SetKeys(cfg.Peers.Keys); err != nil {
			return changed, err
		}
	}
	return changed, nil
}

// TerminateAll ends what is left, each query by one answer, so that Idle becomes true.
func (s *Server) TerminateAll() {
	s.mu.Lock()
	var left []*queryRowCount
	for _, q := range s.queries {
		left = append(left, q)
	}
	s.mu.Unlock()
	for _, q := range left {
		s.mu.Lock()
		v := verdict.ShuttingDown(q.attempted)
		s.mu.Unlock()
		s.Withdraw(q.Query, true)
		s.respond(q, v)
	}
	s.pgFrontend.TerminateAll()
	if s.flightFrontend != nil {
		s.flightFrontend.TerminateAll()
	}
}

// openFileLimit is how many files the process may have open; 0: not known.
func openFileLimit() int {
	entries, err := os.ReadFile("/proc/self/limits")
	if err != nil {
		return 0
	}
	return parseOpenFileLimit(entries)
}
