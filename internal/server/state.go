package server

import (
	"errors"
	"time"

	"cresspass/internal/storage"
)

// This file opens and closes the state folder, which survives the process. Package storage decides how its
// contents are used after a restart.

// openState opens the state folder and restores the state of the previous incarnation.
func (s *Server) openState() error {
	s.incarnation = uint64(time.Now().UnixNano())
	if s.cfg.StateDir == "" {
		return nil
	}
	store, state, err := storage.OpenStore(s.cfg.StateDir, s.log)
	if errors.Is(err, storage.ErrLocked) && s.cfg.TakingOver {
		// The predecessor still drains and holds the lock. What it has learned is read without the lock;
		// takeOverState opens the folder once the predecessor has released it.
		state = storage.NewState()
		if records, err := storage.ReadUnlocked(s.cfg.StateDir); err == nil {
			state.Apply(records)
		}
	} else if err != nil {
		return err
	}
	s.store.Store(store)
	// If the wall clock was set back since the last start, the time alone would be a smaller number, and
	// peers would ignore this process as an older one.
	s.incarnation = max(s.incarnation, state.LastIncarnation()+1)
	if data, age := state.ModelState(time.Now()); data != nil {
		if err := s.restoreLearned(data, age); err != nil {
			s.log.Warn("learned state not restored", "error", err)
		}
	}
	if store != nil {
		s.recoverFrom(state)
	}
	return nil
}

// recoverFrom sets up the check of new writes against those that the previous incarnation may have sent, and
// starts the cleanup of its sessions.
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

// takeOverState opens the state folder if the predecessor has released it.
func (s *Server) takeOverState() {
	store, state, err := storage.OpenStore(s.cfg.StateDir, s.log)
	switch {
	case errors.Is(err, storage.ErrLocked):
	case err != nil:
		s.log.Error("state folder of the predecessor not opened", "error", err)
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
