package sessionparams

import (
	"slices"
	"sort"
	"strings"
)

// Param is a setting and the statement that sets its value.
type Param struct{ Name, Statement string }

// Set holds the replayed settings of a session or of a connection, ordered by name. A setting that is not in
// the set has the engine's default. A Set is immutable, so goroutines may share it. A nil *Set is empty.
type Set struct{ list []Param }

// Statement returns the statement that sets a setting's value, or "" if the setting has the engine's
// default.
func (s *Set) Statement(name string) string {
	if s != nil {
		for _, p := range s.list {
			if p.Name == name {
				return p.Statement
			}
		}
	}
	return ""
}

// Key returns a text that is equal for equal sets, and "" for the empty set.
func (s *Set) Key() string {
	if s == nil {
		return ""
	}
	var key strings.Builder
	for _, p := range s.list {
		key.WriteString("\x00")
		key.WriteString(p.Statement)
	}
	return key.String()
}

// With returns a copy of the set with one setting changed. An empty statement removes the setting.
func (s *Set) With(name, statement string) *Set {
	if s.Statement(name) == statement {
		return s
	}
	var list []Param
	if s != nil {
		list = slices.Clone(s.list)
	}
	i := sort.Search(len(list), func(i int) bool { return list[i].Name >= name })
	exists := i < len(list) && list[i].Name == name
	switch {
	case statement == "":
		list = slices.Delete(list, i, i+1)
	case exists:
		list[i].Statement = statement
	default:
		list = slices.Insert(list, i, Param{name, statement})
	}
	if len(list) == 0 {
		return nil
	}
	return &Set{list}
}

// Diff returns the statements that change a connection's settings from have to want.
func Diff(have, want *Set) (statements []string) {
	if have == want {
		return nil
	}
	if have != nil {
		for _, p := range have.list {
			if want.Statement(p.Name) == "" {
				statements = append(statements, "RESET "+p.Name)
			}
		}
	}
	if want != nil {
		for _, p := range want.list {
			if have.Statement(p.Name) != p.Statement {
				statements = append(statements, p.Statement)
			}
		}
	}
	return statements
}

// SetConfigStatement returns the statement that applies a setting from a startup packet. Unlike the value of
// a SET, a value in a startup packet may be a list within one string.
func SetConfigStatement(name, value string) string {
	value = strings.NewReplacer(`\`, `\\`, `'`, `''`).Replace(value)
	return "SELECT pg_catalog.set_config('" + name + "', E'" + value + "', false)"
}
