// Package sqlscan finds out of a text of SQL what a router must know: which statements it holds, by their
// first words, and what a trailing or leading sqlcommenter comment says. It follows PostgreSQL's lexical
// structure (part II, "Lexical Structure"): quoted texts, E and dollar quotes, quoted names, line and nested
// comments. It judges nothing: a word is a word only outside quotes and comments.
package sqlscan

import (
	"net/url"
	"strings"
)

// Statement is one statement of a text.
type Statement struct {
	Text  string    // without comments around it and without its semicolon
	Words [4]string // its first words in upper case, punctuation left out; shorter ones end with ""

	Writes  bool // it may change data: anything but plain reading, and reading that also writes
	Session bool // it names a function whose effect belongs to a session
	Temp    bool // it reads INTO a temporary table
	// Function is the first function it calls of which it is not known that it leaves nothing in the
	// session, as it is written and without its schema; "": none.
	Function string
}

// reading are the first words of statements that only read, unless a word of writing follows.
var reading = map[string]bool{"SELECT": true, "VALUES": true, "TABLE": true, "SHOW": true, "EXPLAIN": true,
	"WITH":  true,
	"BEGIN": true, "START": true, "ROLLBACK": true, "ABORT": true, "SAVEPOINT": true, "RELEASE": true}

// word takes note of a word that is not among the first. Danger: WITH and EXPLAIN hide writing behind
// reading, and SELECT INTO makes a table; in doubt it writes.
func (st *Statement) word(w, before string) {
	switch w = strings.ToUpper(w); w {
	case "TEMP", "TEMPORARY":
		st.Temp = st.Temp || strings.EqualFold(before, "INTO")
	case "INSERT", "DELETE", "MERGE", "INTO", "NEXTVAL", "SETVAL":
		st.Writes = true
	case "UPDATE": // SELECT FOR UPDATE locks, and changes nothing
		st.Writes = st.Writes || !strings.EqualFold(before, "FOR") && !strings.EqualFold(before, "KEY")
	case "PG_ADVISORY_LOCK", "PG_ADVISORY_LOCK_SHARED", "PG_TRY_ADVISORY_LOCK", "PG_TRY_ADVISORY_LOCK_SHARED",
		"PG_ADVISORY_UNLOCK", "PG_ADVISORY_UNLOCK_SHARED", "PG_ADVISORY_UNLOCK_ALL", "SET_CONFIG":
		st.Session = true
	}
}

// Statements splits a text. Empty statements are left out.
func Statements(text string) []Statement {
	var all []Statement
	s := scanner{text: text}
	var st Statement
	words, from, to, before, earlier := 0, -1, 0, "", ""
	name := "" // the token before this one, where it can be a function's name
	flush := func() {
		if from >= 0 {
			st.Text = text[from:to]
			all = append(all, st)
		}
		st, words, from, before, earlier, name = Statement{}, 0, -1, "", "", ""
	}
	for {
		kind, a, b := s.next()
		switch kind {
		case tokenEnd:
			flush()
			return all
		case tokenComment:
			continue
		case tokenSemicolon:
			flush()
			continue
		}
		if from < 0 {
			from = a
		}
		to = b
		if kind != tokenWord {
			switch c := text[a]; {
			case c == '(' && name != "":
				if name == before {
					st.calls(name, earlier)
				} else {
					st.calls(name, before)
				}
				name = ""
			case c == '"' && b-a > 2:
				name = text[a+1 : b-1]
			case c != '.': // a schema before a name is passed over
				name = ""
			}
			continue
		}
		if words < len(st.Words) {
			st.Words[words] = strings.ToUpper(text[a:b])
			words++
		}
		if words == 1 && before == "" {
			st.Writes = !reading[st.Words[0]]
		} else {
			st.word(text[a:b], before)
		}
		if name == "" || text[a-1] != '.' {
			earlier = before
		}
		before = text[a:b]
		name = before
	}
}

// Tags returns what the sqlcommenter comments of a text say: pairs of key='value' set apart by commas, with
// keys and values in URL encoding. A comment that has another form says nothing.
func Tags(text string) map[string]string {
	var tags map[string]string
	if !strings.Contains(text, "/*") {
		return nil
	}
	s := scanner{text: text}
	for {
		kind, a, b := s.next()
		if kind == tokenEnd {
			return tags
		}
		if kind != tokenComment || !strings.HasPrefix(text[a:b], "/*") || !strings.HasSuffix(text[a:b],
			"*/") || b-a < 4 {
			continue
		}
		for k, v := range pairs(text[a+2 : b-2]) {
			if tags == nil {
				tags = map[string]string{}
			}
			tags[k] = v
		}
	}
}

func pairs(s string) map[string]string {
	found := map[string]string{}
	for s = strings.TrimSpace(s); s != ""; {
		k, rest, ok := strings.Cut(s, "='")
		if !ok {
			return nil
		}
		end := 0
		for end < len(rest) && (rest[end] != '\'' || end > 0 && rest[end-1] == '\\') {
			end++
		}
		if end == len(rest) {
			return nil
		}
		key, err1 := url.QueryUnescape(strings.TrimSpace(k))
		value, err2 := url.PathUnescape(strings.ReplaceAll(rest[:end], `\'`, `'`))
		if err1 != nil || err2 != nil || key == "" || strings.ContainsAny(key, " \t\r\n'") {
			return nil
		}
		found[key] = value
		s = strings.TrimSpace(rest[end+1:])
		if s != "" {
			if s[0] != ',' {
				return nil
			}
			s = strings.TrimSpace(s[1:])
		}
	}
	return found
}

type token int

const (
	tokenEnd token = iota
	tokenComment
	tokenSemicolon
	tokenWord
	tokenOther // quotes, numbers, punctuation
)

type scanner struct {
	text string
	at   int
}

func wordStart(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

func wordPart(c byte) bool { return wordStart(c) || c >= '0' && c <= '9' || c == '$' }

// next returns the next token and where it stands. An unclosed quote or comment goes on to the end.
func (s *scanner) next() (kind token, from, to int) {
	t := s.text
	for s.at < len(t) && strings.IndexByte(" \t\r\n\f\v", t[s.at]) >= 0 {
		s.at++
	}
	from = s.at
	if from >= len(t) {
		return tokenEnd, from, from
	}
	kind = tokenOther
	switch c := t[from]; {
	case c == ';':
		kind = tokenSemicolon
		s.at++
	case strings.HasPrefix(t[from:], "--"):
		kind = tokenComment
		if n := strings.IndexAny(t[from:], "\r\n"); n >= 0 {
			s.at += n
		} else {
			s.at = len(t)
		}
	case strings.HasPrefix(t[from:], "/*"):
		kind = tokenComment
		s.comment()
	case c == '\'':
		s.quoted('\'', false)
	case c == '"':
		s.quoted('"', false)
	case (c == 'e' || c == 'E') && from+1 < len(t) && t[from+1] == '\'':
		s.at++
		s.quoted('\'', true)
	case c == '$':
		s.dollar()
	case wordStart(c):
		kind = tokenWord
		for s.at < len(t) && wordPart(t[s.at]) {
			s.at++
		}
	case c >= '0' && c <= '9':
		for s.at < len(t) && (wordPart(t[s.at]) || t[s.at] == '.') {
			s.at++
		}
	default:
		s.at++
	}
	return kind, from, s.at
}

// comment passes over a comment; they nest.
func (s *scanner) comment() {
	depth := 0
	for s.at < len(s.text) {
		switch rest := s.text[s.at:]; {
		case strings.HasPrefix(rest, "/*"):
			depth++
			s.at += 2
		case strings.HasPrefix(rest, "*/"):
			s.at += 2
			if depth--; depth == 0 {
				return
			}
		default:
			s.at++
		}
	}
}

// quoted passes over a quoted text or name; a doubled quote stands for one, and so does one after a backslash
// where escapes are on.
func (s *scanner) quoted(q byte, escapes bool) {
	for s.at++; s.at < len(s.text); s.at++ {
		switch c := s.text[s.at]; {
		case escapes && c == '\\':
			s.at++
		case c == q && s.at+1 < len(s.text) && s.text[s.at+1] == q:
			s.at++
		case c == q:
			s.at++
			return
		}
	}
	s.at = len(s.text)
}

// dollar passes over a dollar-quoted text, or over a single $ (a parameter).
func (s *scanner) dollar() {
	end := s.at + 1
	for end < len(s.text) && s.text[end] != '$' && wordPart(s.text[end]) {
		end++
	}
	tag := s.text[s.at:min(end+1, len(s.text))]
	if end >= len(s.text) || s.text[end] != '$' || len(tag) > 2 && !wordStart(tag[1]) {
		for s.at++; s.at < len(s.text) && s.text[s.at] >= '0' && s.text[s.at] <= '9'; {
			s.at++
		}
		return
	}
	if n := strings.Index(s.text[end+1:], tag); n >= 0 {
		s.at = end + 1 + n + len(tag)
	} else {
		s.at = len(s.text)
	}
}
