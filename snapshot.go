package cresspass

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	snapshotHalfLife = 10 * time.Minute // of what an earlier gateway had learnt
)

// Restore takes over what an earlier gateway had learnt, as Snapshot gave it, the less the older it is: bases
// and weights drift to their starting values. What does not fit is left out; an error takes nothing.
func (g *Gateway) Restore(data []byte, age time.Duration) error {
	l, err := decodeSnapshot(data)
	if err != nil {
		return err
	}
	keep := math.Exp2(-max(0, age).Seconds() / snapshotHalfLife.Seconds())
	toward := func(start, was float64) float64 { return start + keep*(was-start) }
	for _, was := range l.Classes {
		if c := g.classes[was.Name]; c != nil {
			c.baseScale = math.Exp(keep * math.Log(was.Scale))
			c.outcomesSeen, c.meanWork, c.grantFactor = keep*was.Seen, toward(
				c.meanWork,
				was.Work,
			), toward(
				c.grantFactor,
				was.Grant,
			)
		}
	}
	for name, was := range l.Kinds {
		k := g.kinds[name]
		for i := range was {
			for j := range was[i] {
				if k != nil && l.matchesClasses(g) && j < len(k.weights[i]) {
					k.weights[i][j] = toward(k.weights[i][j], was[i][j])
				}
			}
		}
	}
	return nil
}

// snapshot is the form of what a gateway has learnt of classes and kinds.
type snapshot struct {
	Version int                    `json:"version"`
	Classes []snapshotClass        `json:"classes"`
	Kinds   map[string][][]float64 `json:"kinds"`
}

type snapshotClass struct {
	Name  string  `json:"name"`
	Scale float64 `json:"scale"`
	Seen  float64 `json:"seen"`
	Work  float64 `json:"work"`
	Grant float64 `json:"grant"`
}

// snapshotVersion is that of the form.
const snapshotVersion = 1

// Snapshot returns what the gateway has learnt, for Restore of a later one.
func (g *Gateway) Snapshot() []byte {
	l := snapshot{Version: snapshotVersion, Kinds: map[string][][]float64{}}
	for _, c := range g.classList {
		l.Classes = append(
			l.Classes,
			snapshotClass{c.Name, c.baseScale, c.outcomesSeen, c.meanWork, c.grantFactor},
		)
	}
	for name, k := range g.kinds {
		l.Kinds[name] = k.weights
	}
	data, _ := json.Marshal(l) // finite numbers and names cannot fail
	return data
}

// decodeSnapshot reads a snapshot, or says why it is none.
func decodeSnapshot(data []byte) (*snapshot, error) {
	var l snapshot
	if err := json.Unmarshal(data, &l); err != nil {
		return nil, fmt.Errorf("cresspass: snapshot: %w", err)
	}
	if l.Version != snapshotVersion {
		return nil, fmt.Errorf("cresspass: snapshot: version %d, want %d", l.Version, snapshotVersion)
	}
	for _, c := range l.Classes {
		for _, v := range []float64{c.Scale, c.Work, c.Grant} {
			if !(v > 0 && v < math.MaxFloat32) {
				return nil, fmt.Errorf("cresspass: snapshot: class %q: value %v", c.Name, v)
			}
		}
		if !(c.Seen >= 0 && c.Seen < math.MaxFloat32) {
			return nil, fmt.Errorf("cresspass: snapshot: class %q: seen %v", c.Name, c.Seen)
		}
	}
	for name, rows := range l.Kinds {
		for _, row := range rows {
			for _, v := range row {
				if !(v >= 0 && v < math.MaxFloat32) || len(rows) != len(l.Classes) ||
					len(row) != len(rows)+1 {
					return nil, fmt.Errorf("cresspass: snapshot: kind %q: weights", name)
				}
			}
		}
	}
	return &l, nil
}

// matchesClasses reports whether a snapshot's classes are the gateway's, in their order: its weights are
// told by number.
func (l *snapshot) matchesClasses(g *Gateway) bool {
	return slices.EqualFunc(
		l.Classes,
		g.classList,
		func(a snapshotClass, c *class) bool { return a.Name == c.Name },
	)
}
