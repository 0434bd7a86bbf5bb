package sqlscan

// Fingerprint names a text's shape: two texts that differ in literals, parameters, comments, white space,
// the case of words outside quotes, or in how long a list of literals is, have one. It says nothing of what
// the text means: a schema's path or a table of another name in the same words are not told apart from it.
func Fingerprint(text string) uint64 {
	shape := make([]uint64, 0, 64)
	s := scanner{text: text}
	last := func(back int) uint64 {
		if back > len(shape) {
			return 0
		}
		return shape[len(shape)-back]
	}
	for {
		kind, from, to := s.next()
		if kind == tokenEnd {
			break
		}
		token := text[from:to]
		switch c := token[0]; {
		case kind == tokenComment:
		case kind == tokenSemicolon:
			if len(shape) > 0 && last(1) != punctuation(';') {
				shape = append(shape, punctuation(';'))
			}
		case kind == tokenWord:
			if h := word(token); h == trueWord || h == falseWord {
				shape = literal(shape)
			} else {
				shape = append(shape, h)
			}
		case c == '\'', c >= '0' && c <= '9', c == '$', (c == 'e' || c == 'E') && len(token) > 1:
			shape = literal(shape)
		case c == '"':
			shape = append(shape, hash(token, false))
		case c == ')' && last(1) == anyLiteral && last(2) == punctuation('(') &&
			last(3) == punctuation(',') &&
			last(4) == punctuation(')') && last(5) == anyLiteral && last(6) == punctuation('('):
			shape = shape[:len(shape)-3] // rows of values are as one
		default:
			shape = append(shape, punctuation(c))
		}
	}
	for len(shape) > 0 && last(1) == punctuation(';') {
		shape = shape[:len(shape)-1]
	}
	sum := uint64(offset)
	for _, h := range shape {
		for range 8 {
			sum = (sum ^ h&0xff) * prime
			h >>= 8
		}
	}
	return sum
}

const (
	offset = 0xcbf29ce484222325 // FNV-1a
	prime  = 0x100000001b3
	// anyLiteral stands for literals and parameters.
	anyLiteral = 1
)

var trueWord, falseWord = word("true"), word("false")

// literal appends a literal: a list of them is as one, and a sign before one belongs to it.
func literal(shape []uint64) []uint64 {
	n := len(shape)
	if n > 0 && (shape[n-1] == punctuation('-') || shape[n-1] == punctuation('+')) &&
		(n == 1 || sign(shape[n-2])) {
		shape = shape[:n-1]
		n--
	}
	if n > 1 && shape[n-1] == punctuation(',') && shape[n-2] == anyLiteral {
		return shape[:n-1]
	}
	return append(shape, anyLiteral)
}

// sign reports whether what comes after a token, and is a sign, belongs to a literal: after an operator, a
// comma or an opening parenthesis.
func sign(before uint64) bool {
	for _, c := range "(,=<>*/+-%^|&[" {
		if before == punctuation(byte(c)) {
			return true
		}
	}
	return false
}

func punctuation(c byte) uint64 { return uint64(c) + 256 }

func word(s string) uint64 { return hash(s, true) }

// hash is that of a token, in lower case where it is no quoted name.
func hash(s string, fold bool) uint64 {
	sum := uint64(offset)
	for i := range len(s) {
		c := s[i]
		if fold && c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		sum = (sum ^ uint64(c)) * prime
	}
	return sum | 1<<63 // apart from punctuation
}
