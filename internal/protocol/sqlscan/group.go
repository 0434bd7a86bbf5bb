package sqlscan

import (
	"strconv"
	"strings"
)

// Group returns the number of the group of tables that a text reads or writes: what stands behind the last
// underscore in the name of a schema (17 in sales_17.orders), outside comments and quoted texts; 0 where
// there is none. The schema staging is no group. A name after FROM, JOIN, INTO, UPDATE, TABLE or COPY goes
// before any other.
func Group(text string) int {
	s := scanner{text: text}
	first, found := 0, false
	name, before := "", "" // the name before this token, and the word before that name
	last := ""
	for {
		kind, a, b := s.next()
		switch {
		case kind == tokenEnd:
			return first
		case kind == tokenComment:
			continue
		case kind == tokenWord:
			name, before, last = text[a:b], last, strings.ToUpper(text[a:b])
		case text[a] == '"' && b-a > 2:
			name, before, last = text[a+1:b-1], last, ""
		case text[a] == '.' && name != "":
			if n, ok := groupOf(name); ok {
				switch before {
				case "FROM", "JOIN", "INTO", "UPDATE", "TABLE", "COPY", "ONLY":
					return n
				}
				if !found {
					first, found = n, true
				}
			}
			name = ""
		default:
			name = ""
			if text[a] != ',' && text[a] != '(' {
				last = ""
			}
		}
	}
}

// groupOf is the number behind a schema's underscore, if there is one.
func groupOf(schema string) (int, bool) {
	i := strings.LastIndexByte(schema, '_')
	n, err := strconv.Atoi(schema[i+1:])
	if i < 0 || err != nil || n < 0 || n > 1<<20 || strings.EqualFold(schema[:i], "staging") {
		return 0, false
	}
	return n, true
}
