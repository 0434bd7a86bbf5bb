// Package modelstate takes what a module has learnt apart into named figures, so that several dispatchers'
// can be weighed one by one, and puts figures together into what a module takes over. It does no I/O and
// reads no clock.
package modelstate

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
)

// snapshotVersion is that of the module's snapshot.
const snapshotVersion = 1

// snapshot is the module's form, see Gateway.Snapshot.
type snapshot struct {
	Version int                    `json:"version"`
	Classes []class                `json:"classes"`
	Kinds   map[string][][]float64 `json:"kinds"`
}

type class struct {
	Name  string  `json:"name"`
	Scale float64 `json:"scale"`
	Seen  float64 `json:"seen"`
	Work  float64 `json:"work"`
	Grant float64 `json:"grant"`
}

// classParameters are the figures of a class, and within what bounds they can be. Danger: a snapshot that a
// peer told is taken over whole; a scale of 1e30 would have a class refused for ever.
var classParameters = []struct {
	name        string
	least, most float64
	at          func(c *class) *float64
}{
	{"scale", 1e-4, 1e4, func(c *class) *float64 { return &c.Scale }},
	{"seen", 0, 1e12, func(c *class) *float64 { return &c.Seen }},
	{"work", 1e-6, 1e6, func(c *class) *float64 { return &c.Work }},
	{"grant", 0.01, 100, func(c *class) *float64 { return &c.Grant }},
}

// maxWeight is the greatest weight that a snapshot can hold.
const maxWeight = 1e4

// Flatten returns the figures of a snapshot by name. Names have the classes and kinds in them, so that those
// of other settings fit nothing.
func Flatten(data []byte) (map[string]float64, error) {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("figures: %w", err)
	}
	if s.Version != snapshotVersion {
		return nil, fmt.Errorf("figures: snapshot of version %d, want %d", s.Version, snapshotVersion)
	}
	out := map[string]float64{}
	for i := range s.Classes {
		c := &s.Classes[i]
		for _, p := range classParameters {
			out["c/"+c.Name+"/"+p.name] = *p.at(c)
		}
	}
	for kind, rows := range s.Kinds {
		for i, row := range rows {
			for j, v := range row {
				if i < len(s.Classes) && j <= len(s.Classes) {
					out[weightName(kind, s.Classes, i, j)] = v
				}
			}
		}
	}
	return out, nil
}

// weightName names the weight that a running query of one class, or of other dispatchers, has for another.
func weightName(kind string, classes []class, i, j int) string {
	other := "*"
	if j < len(classes) {
		other = strconv.Quote(classes[j].Name)
	}
	return "k/" + kind + "/" + strconv.Quote(classes[i].Name) + "/" + other
}

// Valid reports whether a figure can have a value.
func Valid(name string, v float64) bool {
	if math.IsNaN(v) || len(name) < 3 {
		return false
	}
	if name[0] == 'k' {
		return v >= 0 && v <= maxWeight
	}
	for _, p := range classParameters {
		if len(name) > len(p.name)+3 && name[len(name)-len(p.name)-1:] == "/"+p.name {
			return v >= p.least && v <= p.most
		}
	}
	return false
}

// Assemble returns a snapshot of what get knows of the settings' classes and kinds. Classes of which a
// figure is not known, or cannot be, are left out, and kinds of which weights are not; nil: there is
// nothing.
func Assemble(classes, kinds []string, get func(name string) (float64, bool)) []byte {
	known := func(name string) (float64, bool) {
		v, ok := get(name)
		return v, ok && Valid(name, v)
	}
	s := snapshot{Version: snapshotVersion, Kinds: map[string][][]float64{}}
	for _, name := range classes {
		c, whole := class{Name: name}, true
		for _, p := range classParameters {
			v, ok := known("c/" + name + "/" + p.name)
			*p.at(&c), whole = v, whole && ok
		}
		if whole {
			s.Classes = append(s.Classes, c)
		}
	}
	if len(s.Classes) == 0 {
		return nil
	}
	for _, kind := range kinds {
		if rows := assembleWeights(kind, s.Classes, known); rows != nil && len(s.Classes) == len(classes) {
			s.Kinds[kind] = rows
		}
	}
	data, _ := json.Marshal(s) // finite numbers cannot fail
	return data
}

func assembleWeights(kind string, classes []class, known func(string) (float64, bool)) [][]float64 {
	var rows [][]float64
	for i := range classes {
		row := make([]float64, len(classes)+1)
		for j := range row {
			v, ok := known(weightName(kind, classes, i, j))
			if !ok {
				return nil
			}
			row[j] = v
		}
		rows = append(rows, row)
	}
	return rows
}
