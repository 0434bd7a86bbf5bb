package sqlscan

import (
	"strconv"
	"strings"
)

const (
	// maxGroup bounds the numbers that count as a group's.
	maxGroup = 1 << 20

	// stagingSchema is the schema, without its number, that is of no group.
	stagingSchema = "staging"
)

// Group returns the number of the group of tables that a text reads or writes: what stands behind the last
// underscore in the name of a schema (17 in sales_17.orders), outside comments and quoted texts; 0 where
// there is none. The schema staging is no group. A name after FROM, JOIN, INTO, UPDATE, TABLE or COPY goes
// before any other.
func Group(text string) int {
	s := scanner{text: text}
	firstGroup, found := 0, false
	name, beforeName := "", "" // the name just read, and the word before it
	last := ""                 // the last word, in upper case
	for {
		kind, from, to := s.next()
		switch {
		case kind == tokenEnd:
			return firstGroup
		case kind == tokenComment:
			continue
		case kind == tokenWord:
			name, beforeName, last = text[from:to], last, strings.ToUpper(text[from:to])
		case text[from] == '"' && to-from > 2:
			name, beforeName, last = text[from+1:to-1], last, ""
		case text[from] == '.' && name != "":
			if group, ok := groupOfSchema(name); ok {
				if tableFollows(beforeName) {
					return group
				}
				if !found {
					firstGroup, found = group, true
				}
			}
			name = ""
		default:
			name = ""
			if text[from] != ',' && text[from] != '(' {
				last = ""
			}
		}
	}
}

// tableFollows reports whether a table's name follows a word.
func tableFollows(word string) bool {
	switch word {
	case "FROM", "JOIN", "INTO", "UPDATE", "TABLE", "COPY", "ONLY":
		return true
	}
	return false
}

// groupOfSchema returns the number behind a schema's last underscore, if there is one.
func groupOfSchema(schema string) (group int, ok bool) {
	i := strings.LastIndexByte(schema, '_')
	group, err := strconv.Atoi(schema[i+1:])
	if i < 0 || err != nil || group < 0 || group > maxGroup || strings.EqualFold(schema[:i], stagingSchema) {
		return 0, false
	}
	return group, true
}
