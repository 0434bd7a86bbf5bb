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
	at   int // position of the next token, or of the white space before it
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

// lineComment skips a comment that extends to the end of the line.
func (s *scanner) lineComment() {
	if n := strings.IndexAny(s.text[s.at:], "\r\n"); n >= 0 {
		s.at += n
	} else {
		s.at = len(s.text)
	}
}

// blockComment skips a comment between /* and */. Such comments nest.
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

// quoted skips a quoted string or name. A doubled quote does not end it, and neither does one after a
// backslash if escapes is true.
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

// dollar skips a dollar-quoted string, or a parameter such as $1.
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
