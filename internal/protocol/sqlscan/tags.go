package sqlscan

import (
	"net/url"
	"strings"
)

// Tags returns the tags in the sqlcommenter comments of a text, or nil if there are none. Such a comment
// consists of pairs key='value' separated by commas, with URL-encoded keys and values. Comments of another
// form are ignored.
func Tags(text string) map[string]string {
	var tags map[string]string
	if !strings.Contains(text, "/*") {
		return nil
	}
	s := scanner{text: text}
	for {
		kind, from, to := s.next()
		if kind == tokenEnd {
			return tags
		}
		if kind != tokenComment {
			continue
		}
		for key, value := range commentPairs(text[from:to]) {
			if tags == nil {
				tags = map[string]string{}
			}
			tags[key] = value
		}
	}
}

// commentPairs returns the pairs of a comment, or nil if it is a line comment, is not closed, or has another
// form.
func commentPairs(comment string) map[string]string {
	const open, end = "/*", "*/"
	if !strings.HasPrefix(comment, open) || !strings.HasSuffix(comment, end) || len(comment) < len(open+end) {
		return nil
	}
	return pairs(comment[len(open) : len(comment)-len(end)])
}

// pairs returns the pairs in a comment's text, or nil if any part of it has another form.
func pairs(s string) map[string]string {
	found := map[string]string{}
	for s = strings.TrimSpace(s); s != ""; {
		escapedKey, rest, ok := strings.Cut(s, "='")
		if !ok {
			return nil
		}
		end := closingQuote(rest)
		if end == len(rest) {
			return nil
		}
		key, keyErr := url.QueryUnescape(strings.TrimSpace(escapedKey))
		value, valueErr := url.PathUnescape(strings.ReplaceAll(rest[:end], `\'`, `'`))
		if keyErr != nil || valueErr != nil || key == "" || strings.ContainsAny(key, " \t\r\n'") {
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

// closingQuote returns the position of the first quote without a backslash before it, or the text's length.
func closingQuote(s string) int {
	i := 0
	for i < len(s) && (s[i] != '\'' || i > 0 && s[i-1] == '\\') {
		i++
	}
	return i
}
