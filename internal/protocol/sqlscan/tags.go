package sqlscan

import (
	"net/url"
	"strings"
)

// Tags returns what the sqlcommenter comments of a text say: pairs of key='value' set apart by commas, with
// keys and values in URL encoding. A comment that has another form says nothing.
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

// commentPairs returns the pairs of a comment; none where it is a line comment, not closed, or has another
// form.
func commentPairs(comment string) map[string]string {
	const open, end = "/*", "*/"
	if !strings.HasPrefix(comment, open) || !strings.HasSuffix(comment, end) || len(comment) < len(open+end) {
		return nil
	}
	return pairs(comment[len(open) : len(comment)-len(end)])
}

// pairs returns the pairs of a comment's text; none where any of it has another form.
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

// closingQuote returns where the first quote without a backslash before it stands, or the text's length.
func closingQuote(s string) int {
	i := 0
	for i < len(s) && (s[i] != '\'' || i > 0 && s[i-1] == '\\') {
		i++
	}
	return i
}
