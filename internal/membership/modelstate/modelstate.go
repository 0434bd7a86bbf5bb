// Package modelstate splits the decision module's snapshot into named parameters, so that those of several
// dispatchers can be weighed one by one, and assembles parameters into a snapshot that the module restores.
// It owns the parameters' names and bounds. The names are sent between dispatchers and stored, so they must
// not change. The package does no I/O and reads no clock.
package modelstate

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// snapshotVersion is the version of the decision module's snapshot.
const snapshotVersion = 1

// snapshot is the JSON form of the decision module's snapshot, see cresspass.Gateway.Snapshot.
type snapshot struct {
	Version int                    `json:"version"`
	Classes []class                `json:"classes"`
	Kinds   map[string][][]float64 `json:"kinds"`
}

// class holds what the module has learnt about a class of queries.
type class struct {
	Name  string  `json:"name"`
	Scale float64 `json:"scale"`
	Seen  float64 `json:"seen"`
	Work  float64 `json:"work"`
	Grant float64 `json:"grant"`
}

const (
	classPrefix = "c/" // begins the names of a class's parameters
	kindPrefix  = "k/" // begins the names of the weights on an engine kind
	// otherDispatchers takes the place of a class in the name of the weight of other dispatchers' load.
	otherDispatchers = "*"
	// CompletionsSuffix ends the names of parameters that count completed queries.
	CompletionsSuffix = "/seen"
	// maxWeight is the greatest weight that a snapshot can hold.
	maxWeight = 1e4
)

// classParameters are the parameters of a class and their bounds. A snapshot from a peer is restored as a
// whole: without bounds a scale of 1e30 would make the module reject a class permanently.
var classParameters = []struct {
	suffix   string
	min, max float64
	field    func(c *class) *float64
}{
	{"/scale", 1e-4, 1e4, func(c *class) *float64 { return &c.Scale }},
	{CompletionsSuffix, 0, 1e12, func(c *class) *float64 { return &c.Seen }},
	{"/work", 1e-6, 1e6, func(c *class) *float64 { return &c.Work }},
	{"/grant", 0.01, 100, func(c *class) *float64 { return &c.Grant }},
}

// Flatten returns the parameters of a snapshot by name. Names contain the classes and kinds, so parameters
// that were learnt under other settings match nothing. It returns an error if the snapshot is not valid
// JSON or has another version.
func Flatten(data []byte) (map[string]float64, error) {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("modelstate: decode snapshot: %w", err)
	}
	if s.Version != snapshotVersion {
		return nil, fmt.Errorf("modelstate: snapshot has version %d, want %d", s.Version, snapshotVersion)
	}
	parameters := map[string]float64{}
	for i := range s.Classes {
		c := &s.Classes[i]
		for _, p := range classParameters {
			parameters[classPrefix+c.Name+p.suffix] = *p.field(c)
		}
	}
	for kind, rows := range s.Kinds {
		for i, row := range rows {
			for j, value := range row {
				if i < len(s.Classes) && j <= len(s.Classes) {
					parameters[weightName(kind, s.Classes, i, j)] = value
				}
			}
		}
	}
	return parameters, nil
}

// weightName returns the name of the interference weight that a running query of class j has for a query of
// class i on a kind of engines. The j after the last class stands for queries of other dispatchers.
func weightName(kind string, classes []class, i, j int) string {
	other := otherDispatchers
	if j < len(classes) {
		other = strconv.Quote(classes[j].Name)
	}
	return kindPrefix + kind + "/" + strconv.Quote(classes[i].Name) + "/" + other
}

// Valid reports whether a value is within the bounds of a parameter. Valid is false for NaN, and for names
// that neither begin like the weights of an engine kind nor end with the suffix of a class parameter.
func Valid(name string, value float64) bool {
	if math.IsNaN(value) || len(name) <= len(classPrefix) {
		return false
	}
	if name[0] == kindPrefix[0] {
		return value >= 0 && value <= maxWeight
	}
	for _, p := range classParameters {
		if len(name) > len(classPrefix)+len(p.suffix) && strings.HasSuffix(name, p.suffix) {
			return value >= p.min && value <= p.max
		}
	}
	return false
}

// Assemble returns a snapshot of the settings' classes and kinds, with the parameters that get returns. A
// class with a parameter that is unknown or invalid is left out, and so is a kind with such a weight. Kinds
// are included only if no class is left out. nil: no class can be restored.
func Assemble(classes, kinds []string, get func(name string) (float64, bool)) []byte {
	known := func(name string) (float64, bool) {
		value, ok := get(name)
		return value, ok && Valid(name, value)
	}
	s := snapshot{Version: snapshotVersion, Kinds: map[string][][]float64{}}
	for _, name := range classes {
		if c, complete := assembleClass(name, known); complete {
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
	data, err := json.Marshal(s)
	if err != nil { // valid parameters are finite numbers, which always have a JSON form
		return nil
	}
	return data
}

// assembleClass returns a class; false: one of its parameters is unknown or invalid.
func assembleClass(name string, known func(name string) (float64, bool)) (c class, complete bool) {
	c, complete = class{Name: name}, true
	for _, p := range classParameters {
		value, ok := known(classPrefix + name + p.suffix)
		*p.field(&c) = value
		complete = complete && ok
	}
	return c, complete
}

// assembleWeights returns the weights on a kind of engines; nil: one of them is unknown or invalid.
func assembleWeights(kind string, classes []class, known func(string) (float64, bool)) [][]float64 {
	var rows [][]float64
	for i := range classes {
		row := make([]float64, len(classes)+1)
		for j := range row {
			value, ok := known(weightName(kind, classes, i, j))
			if !ok {
				return nil
			}
			row[j] = value
		}
		rows = append(rows, row)
	}
	return rows
}
