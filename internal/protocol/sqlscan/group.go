package sqlscan

import (
	"strconv"
	"strings"
)

const (
	// maxGroup is the largest number that counts as a group.
	maxGroup = 1 << 20

	// stagingSchema is the name, without its number, of schemas that belong to no group.
	stagingSchema = "staging"
)

// Group returns the number of the group of tables that a text reads or writes, or 0 if it finds none. The
// number is the part of a schema's name after its last underscore (17 in sales_17.orders). Comments and
// quoted strings are ignored, and staging schemas belong to no group. The first name after FROM, JOIN, INTO,
// UPDATE, TABLE, COPY or ONLY takes precedence over other names.
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
			name, beforeName, last = text[from:to], last, upperWord(text[from:to])
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

// tableFollows reports whether a table's name follows the given word, which is in upper case.
func tableFollows(word string) bool {
	switch word {
	case "FROM", "JOIN", "INTO", "UPDATE", "TABLE", "COPY", "ONLY":
		return true
	}
	return false
}

// groupOfSchema returns the number after the last underscore of a schema's name. ok is false if there is none
// or the schema belongs to no group.
func groupOfSchema(schema string) (group int, ok bool) {
	i := strings.LastIndexByte(schema, '_')
	group, err := strconv.Atoi(schema[i+1:])
	if i < 0 || err != nil || group < 0 || group > maxGroup || strings.EqualFold(schema[:i], stagingSchema) {
		return 0, false
	}
	return group, true
}
