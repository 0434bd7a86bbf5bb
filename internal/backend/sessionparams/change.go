package sessionparams

import (
	"strings"

	"cresspass/internal/protocol/sqlscan"
)

// Change is the effect of one statement on the replayed settings.
type Change struct {
	Name      string // of the setting, in lower case; "": all settings
	Statement string // sets the new value; "": back to the default
}

// ChangeOf returns the effect of a statement on the replayed settings. ok is false if the statement changes
// none of them.
func ChangeOf(st *sqlscan.Statement) (ch Change, ok bool) {
	words := st.Words
	switch words[0] {
	case "DISCARD":
		return Change{}, words[1] == "ALL"
	case "RESET":
		return resetChange(&st.Words)
	case "SET":
	default:
		return ch, false
	}
	name, value, ok := ParseAssignment(st)
	if !ok || words[1] == "LOCAL" || !replayedSettings[name] {
		return ch, false
	}
	ch = Change{Name: name, Statement: st.Text}
	value = strings.TrimSpace(value)
	if strings.EqualFold(value, "default") || name == "timezone" && strings.EqualFold(value, "local") {
		ch.Statement = ""
	}
	return ch, true
}

// ChangesAny reports whether any of the statements changes a replayed setting.
func ChangesAny(statements []sqlscan.Statement) bool {
	for i := range statements {
		if _, ok := ChangeOf(&statements[i]); ok {
			return true
		}
	}
	return false
}

// resetChange returns the effect of a RESET with the given first words.
func resetChange(words *[4]string) (ch Change, ok bool) {
	if words[1] == "ALL" {
		return Change{}, true
	}
	ch.Name = strings.ToLower(words[1])
	if words[1] == "TIME" && words[2] == "ZONE" {
		ch.Name = "timezone"
	}
	return ch, replayedSettings[ch.Name]
}

// ParseAssignment splits a SET statement into the setting's name in lower case and the text of its value. ok
// is false if the statement is not an assignment ("SET").
func ParseAssignment(st *sqlscan.Statement) (name, value string, ok bool) {
	rest := trimScope(strings.TrimSpace(st.Text[len("SET"):]))
	name, value, ok = strings.Cut(rest, "=")
	if !ok || strings.ContainsAny(strings.TrimSpace(name), " \t\r\n'") {
		name, value, ok = parseWordAssignment(rest)
	}
	name = strings.ToLower(strings.Trim(strings.TrimSpace(name), `"`))
	return name, strings.TrimSpace(value), ok
}

// trimScope returns an assignment without a leading SESSION or LOCAL.
func trimScope(assignment string) string {
	word, rest := cutWord(assignment)
	if rest != "" && (sqlscan.IsKeyword(word, "SESSION") || sqlscan.IsKeyword(word, "LOCAL")) {
		return rest
	}
	return assignment
}

// parseWordAssignment splits an assignment without an equals sign: TIME ZONE value, NAMES value or
// name TO value.
func parseWordAssignment(assignment string) (name, value string, ok bool) {
	first, rest := cutWord(assignment)
	second, value := cutWord(rest)
	switch {
	case value != "" && sqlscan.IsKeyword(first, "TIME") && sqlscan.IsKeyword(second, "ZONE"):
		return "timezone", value, true
	case rest != "" && sqlscan.IsKeyword(first, "NAMES"):
		return "client_encoding", rest, true
	case value != "" && sqlscan.IsKeyword(second, "TO"):
		return first, value, true
	}
	return "", "", false
}

// sqlSpace holds the characters between the words of a statement ("Lexical Structure").
const sqlSpace = " \t\r\n\f\v"

// cutWord returns the first word of a text, up to the next white space, and the text behind that white space.
func cutWord(text string) (word, rest string) {
	text = strings.TrimLeft(text, sqlSpace)
	end := strings.IndexAny(text, sqlSpace)
	if end < 0 {
		return text, ""
	}
	return text[:end], strings.TrimLeft(text[end:], sqlSpace)
}
