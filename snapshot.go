package cresspass

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	snapshotVersion  = 1
	snapshotHalfLife = 10 * time.Minute // of values that an earlier gateway has learnt
)

// snapshot is the stored form of what a gateway has learnt about classes and kinds.
type snapshot struct {
	Version int                    `json:"version"`
	Classes []snapshotClass        `json:"classes"`
	Kinds   map[string][][]float64 `json:"kinds"`
}

type snapshotClass struct {
	Name         string  `json:"name"`
	BaseScale    float64 `json:"scale"`
	OutcomesSeen float64 `json:"seen"`
	MeanWork     float64 `json:"work"`
	GrantFactor  float64 `json:"grant"`
}

// Snapshot returns what the gateway has learnt, as JSON for Restore of a later gateway.
func (g *Gateway) Snapshot() []byte {
	s := snapshot{Version: snapshotVersion, Kinds: map[string][][]float64{}}
	for _, c := range g.classList {
		s.Classes = append(s.Classes,
			snapshotClass{c.Name, c.baseScale, c.outcomesSeen, c.meanWork, c.grantFactor})
	}
	for name, k := range g.kinds {
		s.Kinds[name] = k.weights
	}
	data, _ := json.Marshal(s) // encoding finite numbers and names cannot fail
	return data
}

// Restore loads what an earlier gateway has learnt from the result of Snapshot. The older the snapshot, the
// less it counts: bases and weights decay towards their initial values. Classes and kinds that the gateway
// does not have are left out, and all weights if its classes differ. An error means that the snapshot is
// invalid and nothing was loaded.
func (g *Gateway) Restore(data []byte, age time.Duration) error {
	s, err := decodeSnapshot(data)
	if err != nil {
		return err
	}
	keep := math.Exp2(-max(0, age).Seconds() / snapshotHalfLife.Seconds())
	decayToward := func(start, stored float64) float64 { return start + keep*(stored-start) }
	for _, stored := range s.Classes {
		if c := g.classes[stored.Name]; c != nil {
			c.baseScale = math.Exp(keep * math.Log(stored.BaseScale))
			c.outcomesSeen = keep * stored.OutcomesSeen
			c.meanWork = decayToward(c.meanWork, stored.MeanWork)
			c.grantFactor = decayToward(c.grantFactor, stored.GrantFactor)
		}
	}
	if !s.matchesClasses(g.classList) {
		return nil
	}
	for name, stored := range s.Kinds {
		k := g.kinds[name]
		for i := range stored {
			for j := range stored[i] {
				if k != nil && j < len(k.weights[i]) {
					k.weights[i][j] = decayToward(k.weights[i][j], stored[i][j])
				}
			}
		}
	}
	return nil
}

// decodeSnapshot decodes and validates a snapshot.
func decodeSnapshot(data []byte) (*snapshot, error) {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("cresspass: decode snapshot: %w", err)
	}
	if s.Version != snapshotVersion {
		return nil, fmt.Errorf("cresspass: snapshot: version %d, want %d", s.Version, snapshotVersion)
	}
	for _, c := range s.Classes {
		if err := c.validate(); err != nil {
			return nil, err
		}
	}
	for name, rows := range s.Kinds {
		if !s.validWeights(rows) {
			return nil, fmt.Errorf("cresspass: snapshot: kind %q: weights out of range or wrong size", name)
		}
	}
	return &s, nil
}

func (c *snapshotClass) validate() error {
	for _, v := range []float64{c.BaseScale, c.MeanWork, c.GrantFactor} {
		if !(v > 0 && v < math.MaxFloat32) {
			return fmt.Errorf("cresspass: snapshot: class %q: value %v is out of range", c.Name, v)
		}
	}
	if !(c.OutcomesSeen >= 0 && c.OutcomesSeen < math.MaxFloat32) {
		return fmt.Errorf("cresspass: snapshot: class %q: seen %v is out of range", c.Name, c.OutcomesSeen)
	}
	return nil
}

// validWeights reports whether rows are valid weights of all classes of the snapshot, or empty.
func (s *snapshot) validWeights(rows [][]float64) bool {
	for _, row := range rows {
		for _, v := range row {
			inRange := v >= 0 && v < math.MaxFloat32
			if !inRange || len(rows) != len(s.Classes) || len(row) != len(rows)+1 {
				return false
			}
		}
	}
	return true
}

// matchesClasses reports whether a snapshot has the gateway's classes in the same order. Weights are stored
// by class index.
func (s *snapshot) matchesClasses(classes []*class) bool {
	sameName := func(a snapshotClass, c *class) bool { return a.Name == c.Name }
	return slices.EqualFunc(s.Classes, classes, sameName)
}
