package sessionparams

import (
	"slices"
	"sort"
	"strings"
)

// Param is a setting with the statement that puts it in force.
type Param struct{ Name, Statement string }

// Set is the settings in force, ordered by name. It is immutable; a nil Set is empty.
type Set struct{ list []Param }

// Statement returns the statement that puts a setting in force; "": the engine's default holds.
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

// Key identifies the settings in force; "": none is set.
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

// With returns a set in which one setting is changed; an empty statement removes it.
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

// Diff returns the statements that bring a connection from the settings have to the settings want.
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

// SetConfigStatement returns the statement that sets a setting to a value of a startup packet. Unlike the
// value of a SET, that of a startup packet may be a list within one text.
func SetConfigStatement(name, value string) string {
	value = strings.NewReplacer(`\`, `\\`, `'`, `''`).Replace(value)
	return "SELECT pg_catalog.set_config('" + name + "', E'" + value + "', false)"
}
