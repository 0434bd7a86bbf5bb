package sqlscan

import "strings"

// token is the kind of a token.
type token int

// The kinds of token.
const (
	tokenEnd token = iota
	tokenComment
	tokenSemicolon
	tokenWord
	tokenOther // quoted strings and names, numbers, parameters, punctuation
)

// scanner splits a text into tokens.
type scanner struct {
	text string
	pos  int // position of the next token, or of the white space before it
}

// wordStart reports whether a word or an unquoted name may begin with c. wordPart reports whether it may
// contain c after that.
func wordStart(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

func wordPart(c byte) bool { return wordStart(c) || c >= '0' && c <= '9' || c == '$' }

// whiteSpace holds the characters that separate tokens.
const whiteSpace = " \t\r\n\f\v"

// next returns the kind of the next token, and its position in the text: from inclusive, to exclusive. An
// unclosed quote or comment extends to the end of the text.
func (s *scanner) next() (kind token, from, to int) {
	t := s.text
	for s.pos < len(t) && strings.IndexByte(whiteSpace, t[s.pos]) >= 0 {
		s.pos++
	}
	from = s.pos
	if from >= len(t) {
		return tokenEnd, from, from
	}
	kind = tokenOther
	switch c := t[from]; {
	case c == ';':
		kind = tokenSemicolon
		s.pos++
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
		s.pos++
		s.quoted('\'', true)
	case c == '$':
		s.dollar()
	case wordStart(c):
		kind = tokenWord
		for s.pos < len(t) && wordPart(t[s.pos]) {
			s.pos++
		}
	case c >= '0' && c <= '9':
		for s.pos < len(t) && (wordPart(t[s.pos]) || t[s.pos] == '.') {
			s.pos++
		}
	default:
		s.pos++
	}
	return kind, from, s.pos
}

// lineComment skips a comment that extends to the end of the line.
func (s *scanner) lineComment() {
	if n := strings.IndexAny(s.text[s.pos:], "\r\n"); n >= 0 {
		s.pos += n
	} else {
		s.pos = len(s.text)
	}
}

// blockComment skips a comment between /* and */. Such comments nest.
func (s *scanner) blockComment() {
	depth := 0
	for s.pos < len(s.text) {
		switch rest := s.text[s.pos:]; {
		case strings.HasPrefix(rest, "/*"):
			depth++
			s.pos += 2
		case strings.HasPrefix(rest, "*/"):
			s.pos += 2
			if depth--; depth == 0 {
				return
			}
		default:
			s.pos++
		}
	}
}

// quoted skips a quoted string or name. A doubled quote does not end it, and neither does one after a
// backslash if escapes is true.
func (s *scanner) quoted(quote byte, escapes bool) {
	for s.pos++; s.pos < len(s.text); s.pos++ {
		switch c := s.text[s.pos]; {
		case escapes && c == '\\':
			s.pos++
		case c == quote && s.pos+1 < len(s.text) && s.text[s.pos+1] == quote:
			s.pos++
		case c == quote:
			s.pos++
			return
		}
	}
	s.pos = len(s.text)
}

// dollar skips a dollar-quoted string, or a parameter such as $1.
func (s *scanner) dollar() {
	end := s.pos + 1
	for end < len(s.text) && s.text[end] != '$' && wordPart(s.text[end]) {
		end++
	}
	tag := s.text[s.pos:min(end+1, len(s.text))]
	if end >= len(s.text) || s.text[end] != '$' || len(tag) > 2 && !wordStart(tag[1]) {
		for s.pos++; s.pos < len(s.text) && s.text[s.pos] >= '0' && s.text[s.pos] <= '9'; {
			s.pos++
		}
		return
	}
	if n := strings.Index(s.text[end+1:], tag); n >= 0 {
		s.pos = end + 1 + n + len(tag)
	} else {
		s.pos = len(s.text)
	}
}
