package sqlscan

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// upperWord returns a word in upper case and with the same length in bytes. Letters whose upper case is
// longer or shorter stay as they are. Some of them have an ASCII letter as upper case: a word that passed for
// a key word by it would be none to the engine.
func upperWord(word string) string {
	if strings.IndexFunc(word, isNotASCII) < 0 {
		return strings.ToUpper(word)
	}
	upper := make([]byte, 0, len(word))
	for len(word) > 0 {
		letter, size := utf8.DecodeRuneInString(word)
		if up := unicode.ToUpper(letter); letter != utf8.RuneError && utf8.RuneLen(up) == size {
			upper = utf8.AppendRune(upper, up)
		} else {
			upper = append(upper, word[:size]...)
		}
		word = word[size:]
	}
	return string(upper)
}

func isNotASCII(r rune) bool { return r >= utf8.RuneSelf }

// IsKeyword reports whether a word is a key word, which is given in upper case.
func IsKeyword(word, keyword string) bool {
	return len(word) == len(keyword) && upperWord(word) == keyword
}
