package sqlscan

// Fingerprint returns a hash of a text's shape. Texts that differ only in literals, parameters, comments,
// white space, the case of words outside quotes, or the length of a list of literals have the same
// fingerprint. It does not depend on the text's meaning: with another search path the same words name other
// tables and have the same fingerprint.
func Fingerprint(text string) uint64 {
	tokens := make(shape, 0, 64)
	s := scanner{text: text}
	for {
		kind, from, to := s.next()
		if kind == tokenEnd {
			break
		}
		tokens = tokens.add(kind, text[from:to])
	}
	for len(tokens) > 0 && tokens.last(1) == punctuation(';') {
		tokens = tokens[:len(tokens)-1]
	}
	return tokens.sum()
}

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 0xcbf29ce484222325
	fnvPrime  = 0x100000001b3
)

// anyLiteral is the token in a shape for a literal, a parameter, or a list of them.
const anyLiteral = 1

// punctuationBase is added to punctuation in a shape, to distinguish it from anyLiteral.
const punctuationBase = 256

// nameBit is set in words and names in a shape, to distinguish them from punctuation.
const nameBit = 1 << 63

var trueWord, falseWord = word("true"), word("false")

// shape holds the tokens of a text as numbers, without those that a fingerprint ignores.
type shape []uint64

// last returns the token at position back from the end, where 1 is the last token, or 0 if there is none.
func (s shape) last(back int) uint64 {
	if back > len(s) {
		return 0
	}
	return s[len(s)-back]
}

// add appends a token if it counts for the fingerprint, and combines lists of literals and rows of values.
func (s shape) add(kind token, text string) shape {
	switch c := text[0]; {
	case kind == tokenComment:
		return s
	case kind == tokenSemicolon:
		if len(s) > 0 && s.last(1) != punctuation(';') {
			return append(s, punctuation(';'))
		}
		return s
	case kind == tokenWord:
		if h := word(text); h != trueWord && h != falseWord {
			return append(s, h)
		}
		return s.addLiteral()
	case c == '\'', c >= '0' && c <= '9', c == '$', (c == 'e' || c == 'E') && len(text) > 1:
		return s.addLiteral()
	case c == '"':
		return append(s, hash(text, false))
	case c == ')' && s.endsInSecondRow():
		return s[:len(s)-3]
	default:
		return append(s, punctuation(c))
	}
}

// addLiteral appends a literal. A list of literals counts as one literal, and a sign before a literal is part
// of it.
func (s shape) addLiteral() shape {
	if len(s) > 0 && (s.last(1) == punctuation('-') || s.last(1) == punctuation('+')) &&
		(len(s) == 1 || signMayFollow(s.last(2))) {
		s = s[:len(s)-1]
	}
	if s.last(1) == punctuation(',') && s.last(2) == anyLiteral {
		return s[:len(s)-1]
	}
	return append(s, anyLiteral)
}

// endsInSecondRow reports whether the shape ends in two rows of values, of which the second one's closing
// parenthesis is still missing. Several rows of values count as one.
func (s shape) endsInSecondRow() bool {
	return s.last(1) == anyLiteral && s.last(2) == punctuation('(') && s.last(3) == punctuation(',') &&
		s.last(4) == punctuation(')') && s.last(5) == anyLiteral && s.last(6) == punctuation('(')
}

// signMayFollow reports whether a plus or minus after a token is the sign of a literal: after an operator, a
// comma, or an opening parenthesis or bracket.
func signMayFollow(before uint64) bool {
	for _, c := range "(,=<>*/+-%^|&[" {
		if before == punctuation(byte(c)) {
			return true
		}
	}
	return false
}

// sum returns the hash of the shape.
func (s shape) sum() uint64 {
	sum := uint64(fnvOffset)
	for _, token := range s {
		for range 8 {
			sum = (sum ^ token&0xff) * fnvPrime
			token >>= 8
		}
	}
	return sum
}

// punctuation returns the token for a punctuation character.
func punctuation(c byte) uint64 { return uint64(c) + punctuationBase }

// word returns the token for a word outside quotes, regardless of its case.
func word(s string) uint64 { return hash(s, true) }

// hash returns the token for a word or name. If fold is set, its ASCII letters are hashed in lower case.
func hash(s string, fold bool) uint64 {
	sum := uint64(fnvOffset)
	for i := range len(s) {
		c := s[i]
		if fold && c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		sum = (sum ^ uint64(c)) * fnvPrime
	}
	return sum | nameBit
}
