package sqlscan

// Fingerprint names a text's shape: two texts that differ in literals, parameters, comments, white space,
// the case of words outside quotes, or in how long a list of literals is, have the same. It says nothing of
// what the text means: the same words on another search path name other tables and have the same fingerprint.
func Fingerprint(text string) uint64 {
	all := make(shape, 0, 64)
	s := scanner{text: text}
	for {
		kind, from, to := s.next()
		if kind == tokenEnd {
			break
		}
		all = all.add(kind, text[from:to])
	}
	for len(all) > 0 && all.last(1) == punctuation(';') {
		all = all[:len(all)-1]
	}
	return all.sum()
}

// Parameters of the hash FNV-1a of 64 bits.
const (
	fnvOffset = 0xcbf29ce484222325
	fnvPrime  = 0x100000001b3
)

// anyLiteral stands in a shape for literals and parameters, and for lists of them.
const anyLiteral = 1

// punctuationBase sets punctuation in a shape apart from anyLiteral.
const punctuationBase = 256

// nameBit sets words and names in a shape apart from punctuation.
const nameBit = 1 << 63

var trueWord, falseWord = word("true"), word("false")

// shape is a text's tokens as numbers, without what a fingerprint passes over.
type shape []uint64

// last returns the token so many from the end, 1 being the last; 0: there is none.
func (s shape) last(back int) uint64 {
	if back > len(s) {
		return 0
	}
	return s[len(s)-back]
}

// add adds a token.
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

// addLiteral adds a literal: a list of literals is as one, and a sign before one belongs to it.
func (s shape) addLiteral() shape {
	if len(s) > 0 && (s.last(1) == punctuation('-') || s.last(1) == punctuation('+')) &&
		(len(s) == 1 || signFollows(s.last(2))) {
		s = s[:len(s)-1]
	}
	if s.last(1) == punctuation(',') && s.last(2) == anyLiteral {
		return s[:len(s)-1]
	}
	return append(s, anyLiteral)
}

// endsInSecondRow reports whether the shape ends in two rows of values, but for the second one's closing
// parenthesis: rows of values are as one.
func (s shape) endsInSecondRow() bool {
	return s.last(1) == anyLiteral && s.last(2) == punctuation('(') && s.last(3) == punctuation(',') &&
		s.last(4) == punctuation(')') && s.last(5) == anyLiteral && s.last(6) == punctuation('(')
}

// signFollows reports whether a plus or minus after a token is the sign of a literal: after an operator, a
// comma, or an opening parenthesis or bracket.
func signFollows(before uint64) bool {
	for _, c := range "(,=<>*/+-%^|&[" {
		if before == punctuation(byte(c)) {
			return true
		}
	}
	return false
}

// sum hashes the shape.
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

// punctuation is a character's number in a shape.
func punctuation(c byte) uint64 { return uint64(c) + punctuationBase }

// word is the number of a word outside quotes, in any case.
func word(s string) uint64 { return hash(s, true) }

// hash is the number of a word or name; fold: in lower case.
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
