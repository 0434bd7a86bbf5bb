package server

import (
	"errors"
	"time"

	"cresspass/internal/storage"
)

// What survives the process, in the state folder. Package storage decides what becomes of it after a
// restart.

// openState opens the state folder and restores what the previous incarnation has left there.
func (s *Server) openState() error {
	s.incarnation = uint64(time.Now().UnixNano())
	if s.cfg.StateDir == "" {
		return nil
	}
	store, state, err := storage.OpenStore(s.cfg.StateDir, s.log)
	if errors.Is(err, storage.ErrLocked) && s.cfg.TakingOver {
		// The process that hands over still drains. What it has learned is read without the lock;
		// takeOverState opens the folder when that process has ended.
		state = storage.NewState()
		if records, err := storage.ReadUnlocked(s.cfg.StateDir); err == nil {
			state.Apply(records)
		}
	} else if err != nil {
		return err
	}
	s.store.Store(store)
	// Where the wall clock was set back since the last start, the time alone would be a smaller number, and
	// peers would ignore this process as an older one.
	s.incarnation = max(s.incarnation, state.LastIncarnation()+1)
	if data, age := state.ModelState(time.Now()); data != nil {
		if err := s.restoreLearned(data, age); err != nil {
			s.log.Warn("learned state not used", "error", err)
		}
	}
	if store != nil {
		s.recoverFrom(state)
	}
	return nil
}

// recoverFrom has new writes respect those that the previous incarnation may have sent, and starts the
// cleanup of its sessions.
func (s *Server) recoverFrom(state *storage.State) {
	s.store.Load().Put(storage.IncarnationNumberRecord(s.incarnation))
	recovery := storage.NewRecoveryGuard(state, storage.Now(), s.cfg.Module.Rules.OrderSettleDelay)
	s.mu.Lock()
	s.recovery, s.recoveredAt = recovery, time.Now()
	s.mu.Unlock()
	s.startOrphanCleanup(state)
	if pending := recovery.Remaining(); pending > 0 || !state.CleanShutdown() {
		s.log.Info("previous incarnation did not shut down cleanly", "pending_writes", pending)
	}
}

// takeOverState opens the state folder, if the process that had it has let go of it.
func (s *Server) takeOverState() {
	store, state, err := storage.OpenStore(s.cfg.StateDir, s.log)
	switch {
	case errors.Is(err, storage.ErrLocked):
	case err != nil:
		s.log.Error("taking the state over failed", "error", err)
	default:
		s.store.Store(store)
		s.recoverFrom(state)
	}
}

// closeState records a clean shutdown and closes the state folder.
func (s *Server) closeState() error {
	store := s.store.Load()
	if store == nil {
		return nil
	}
	store.Put(storage.CleanShutdownRecord())
	return store.Close()
}
