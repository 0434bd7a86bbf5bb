package sqlscan

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestWordsKeepTheirLength guards against positions in a text that are taken from a word in upper case, which
// can be longer or shorter, and against words that pass for key words by their upper case alone.
func TestWordsKeepTheirLength(t *testing.T) {
	for _, text := range []string{"ſet x to y", "ſHOW x", "commıt", "rollbac\u212a x", "diſcard all"} {
		word := Statements(text)[0].Words[0]
		switch word {
		case "SET", "SHOW", "COMMIT", "ROLLBACK", "DISCARD":
			t.Errorf("%s: the first word is taken for %s", text, word)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		word := string(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")) + rapid.String().Draw(t, "letters")
		if upper := upperWord(word); len(upper) != len(word) {
			t.Fatalf("%q has %d bytes, %q %d", word, len(word), upper, len(upper))
		}
		ascii := rapid.StringMatching(`[a-zA-Z_]{1,12}`).Draw(t, "ASCII word")
		if !IsKeyword(ascii, strings.ToUpper(ascii)) {
			t.Fatalf("%s is not taken for %s", ascii, strings.ToUpper(ascii))
		}
	})
}
