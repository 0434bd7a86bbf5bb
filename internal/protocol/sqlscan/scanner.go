package sqlscan

import "strings"

// token is a kind of token.
type token int

// The kinds of token.
const (
	tokenEnd token = iota
	tokenComment
	tokenSemicolon
	tokenWord
	tokenOther // quotes, numbers, punctuation
)

// scanner cuts a text into tokens.
type scanner struct {
	text string
	at   int // the next token begins here, or white space before it
}

// wordStart reports whether a word or a name without quotes may begin with a byte, wordPart whether it may
// go on with one.
func wordStart(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

func wordPart(c byte) bool { return wordStart(c) || c >= '0' && c <= '9' || c == '$' }

// whiteSpace separates tokens.
const whiteSpace = " \t\r\n\f\v"

// next returns the next token and where it stands. An unclosed quote or comment goes on to the end.
func (s *scanner) next() (kind token, from, to int) {
	t := s.text
	for s.at < len(t) && strings.IndexByte(whiteSpace, t[s.at]) >= 0 {
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
		s.lineComment()
	case strings.HasPrefix(t[from:], "/*"):
		kind = tokenComment
		s.blockComment()
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

// lineComment passes over a comment that ends with its line.
func (s *scanner) lineComment() {
	if n := strings.IndexAny(s.text[s.at:], "\r\n"); n >= 0 {
		s.at += n
	} else {
		s.at = len(s.text)
	}
}

// blockComment passes over a comment between slashes and asterisks; they nest.
func (s *scanner) blockComment() {
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
func (s *scanner) quoted(quote byte, escapes bool) {
	for s.at++; s.at < len(s.text); s.at++ {
		switch c := s.text[s.at]; {
		case escapes && c == '\\':
			s.at++
		case c == quote && s.at+1 < len(s.text) && s.text[s.at+1] == quote:
			s.at++
		case c == quote:
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
