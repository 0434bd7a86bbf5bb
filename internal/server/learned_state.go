package server

import (
	"bytes"
	"time"

	"cresspass/internal/dispatch"
	"cresspass/internal/membership/gossip"
	"cresspass/internal/membership/modelstate"
	"cresspass/internal/membership/observation"
	"cresspass/internal/storage"
)

// This file handles what the module learns about costs and engines. The learned values are kept with the
// observations, stored in the state folder and exchanged with peers, and a new process starts with them.

// withObservations calls f with the observations, under the lock that guards them.
func (s *Server) withObservations(f func(now time.Duration, observations *observation.Store)) {
	if p := s.membership.Load(); p != nil {
		p.WithStore(f)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.clock(), s.observations)
}

// initializeEstimates waits for what peers have learned, at most for the time in the settings. It restores
// the module's state from what the peers and an earlier incarnation have learned.
func (s *Server) initializeEstimates(core *dispatch.Core) {
	reportingPeers := 0
	if p := s.membership.Load(); p != nil {
		<-p.Bootstrapped()
		reportingPeers = p.ReportingPeers()
	}
	m := &s.cfg.Module
	var classes []string
	for _, c := range m.Classes {
		classes = append(classes, c.Name)
	}
	oldest := time.Duration(0)
	var snapshot []byte
	s.withObservations(func(now time.Duration, observations *observation.Store) {
		snapshot = modelstate.Assemble(classes, m.KindNames, func(name string) (float64, bool) {
			parameter, ok := observations.InitialParameter(now, name)
			oldest = max(oldest, parameter.Age)
			return parameter.Value, ok
		})
	})
	if snapshot == nil {
		return
	}
	if err := core.Restore(snapshot, oldest); err != nil {
		s.log.Warn("learned state not restored", "error", err)
		return
	}
	s.log.Info("learned state restored", "age", oldest.Round(time.Second), "reporting_peers", reportingPeers)
}

// restoreLearned adds what an earlier incarnation had learned to the observations, as those of the observer
// PreviousIncarnation. age is the time since data was stored.
func (s *Server) restoreLearned(data []byte, age time.Duration) error {
	learned, err := decodeLearned(data)
	if err != nil {
		return err
	}
	for i := range learned {
		learned[i].Observer, learned[i].Hops = observation.PreviousIncarnation, 0
		learned[i].Age += age
	}
	s.withObservations(func(now time.Duration, observations *observation.Store) {
		observations.Receive(now, observation.PreviousIncarnation, learned)
	})
	return nil
}

// decodeLearned decodes stored learned state: observations or, as stored by earlier versions, the module's
// snapshot, which is a JSON object.
func decodeLearned(data []byte) ([]observation.Observation, error) {
	if len(data) == 0 || data[0] != '{' {
		return gossip.DecodeObservations(data)
	}
	parameters, err := modelstate.Flatten(data)
	if err != nil {
		return nil, err
	}
	var learned []observation.Observation
	for name, value := range parameters {
		learned = append(learned, observation.Observation{
			Key:   observation.Key{Property: observation.ModelParameter, Parameter: name},
			Value: value,
		})
	}
	return learned, nil
}

// saveLearned stores what the module has learned and makes it available to peers.
func (s *Server) saveLearned() {
	store := s.store.Load()
	if store == nil && s.membership.Load() == nil {
		return
	}
	var snapshot []byte
	if !s.loop.Inspect(func(c *dispatch.Core) { snapshot = c.Snapshot() }) {
		return
	}
	parameters, err := modelstate.Flatten(snapshot)
	if err != nil {
		return // the snapshot of another decider than the module, in a rehearsal
	}
	var learned []observation.Observation
	s.withObservations(func(now time.Duration, observations *observation.Store) {
		for name, value := range parameters {
			key := observation.Key{Property: observation.ModelParameter, Parameter: name}
			observations.Observe(now, key, value)
		}
		learned = observations.OwnModelParameters(now)
	})
	if store != nil {
		data := bytes.Join(gossip.EncodeObservations(learned), nil)
		store.Put(storage.ModelStateRecord(time.Now(), data))
	}
}
