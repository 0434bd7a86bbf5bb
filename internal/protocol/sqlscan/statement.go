package sqlscan

import "strings"

// Statement is one statement of a text.
type Statement struct {
	Text  string    // without comments around it and without its semicolon
	Words [4]string // its first words in upper case, punctuation left out; shorter ones end with ""

	Writes  bool // it may change data: anything but plain reading, and reading that also writes
	Session bool // it names a function whose effect belongs to a session
	Temp    bool // it reads INTO a temporary table
	// Function is the first function it calls of which it is not known that it leaves nothing in the
	// session, as it is written and without its schema; "": none.
	Function string
}

// readingWords are the first words of statements that only read, unless a word of writing follows.
var readingWords = map[string]bool{
	"SELECT": true, "VALUES": true, "TABLE": true, "SHOW": true, "EXPLAIN": true, "WITH": true,
	"BEGIN": true, "START": true, "ROLLBACK": true, "ABORT": true, "SAVEPOINT": true, "RELEASE": true,
}

// noteWord notes a word that is not the statement's first; before is the word in front of it. Every word
// counts, wherever it stands: WITH and EXPLAIN can have writing behind what looks like reading, and SELECT
// INTO makes a table. A word that may write makes the statement one that writes.
func (st *Statement) noteWord(word, before string) {
	switch strings.ToUpper(word) {
	case "TEMP", "TEMPORARY":
		st.Temp = st.Temp || strings.EqualFold(before, "INTO")
	case "INSERT", "DELETE", "MERGE", "INTO", "NEXTVAL", "SETVAL":
		st.Writes = true
	case "UPDATE": // SELECT FOR UPDATE locks, and changes nothing
		st.Writes = st.Writes || !strings.EqualFold(before, "FOR") && !strings.EqualFold(before, "KEY")
	case "PG_ADVISORY_LOCK", "PG_ADVISORY_LOCK_SHARED", "PG_TRY_ADVISORY_LOCK", "PG_TRY_ADVISORY_LOCK_SHARED",
		"PG_ADVISORY_UNLOCK", "PG_ADVISORY_UNLOCK_SHARED", "PG_ADVISORY_UNLOCK_ALL", "SET_CONFIG":
		st.Session = true
	}
}

// Statements splits a text. Empty statements are left out.
func Statements(text string) []Statement {
	s := scanner{text: text}
	sp := splitter{text: text}
	for {
		kind, from, to := s.next()
		switch kind {
		case tokenEnd:
			sp.endStatement()
			return sp.statements
		case tokenSemicolon:
			sp.endStatement()
		case tokenWord:
			sp.extend(from, to)
			sp.addWord(from, to)
		case tokenOther:
			sp.extend(from, to)
			sp.addOther(from, to)
		}
	}
}

// splitter builds the statements of a text out of its tokens.
type splitter struct {
	text       string
	statements []Statement // those that have ended

	// Of the present statement:
	statement Statement
	started   bool
	from, to  int
	words     int    // noted in statement.Words
	last      string // word
	earlier   string // the word before the last, but for names behind a schema's point
	function  string // the token before this one, where it can be a function's name
}

// endStatement ends the present statement, if it has any token.
func (sp *splitter) endStatement() {
	if !sp.started {
		return
	}
	sp.statement.Text = sp.text[sp.from:sp.to]
	*sp = splitter{text: sp.text, statements: append(sp.statements, sp.statement)}
}

// extend has the present statement reach over a token.
func (sp *splitter) extend(from, to int) {
	if !sp.started {
		sp.started, sp.from = true, from
	}
	sp.to = to
}

// addWord adds a word outside quotes.
func (sp *splitter) addWord(from, to int) {
	word := sp.text[from:to]
	if sp.words < len(sp.statement.Words) {
		sp.statement.Words[sp.words] = strings.ToUpper(word)
		sp.words++
	}
	if sp.words == 1 && sp.last == "" {
		sp.statement.Writes = !readingWords[sp.statement.Words[0]]
	} else {
		sp.statement.noteWord(word, sp.last)
	}
	if sp.function == "" || sp.text[from-1] != '.' {
		sp.earlier = sp.last
	}
	sp.last, sp.function = word, word
}

// addOther adds a token that is no word: a quoted text or name, a number or punctuation.
func (sp *splitter) addOther(from, to int) {
	switch c := sp.text[from]; {
	case c == '(' && sp.function != "":
		before := sp.last
		if sp.function == sp.last {
			before = sp.earlier
		}
		sp.statement.noteCall(sp.function, before)
		sp.function = ""
	case c == '"' && to-from > 2:
		sp.function = sp.text[from+1 : to-1]
	case c != '.': // a schema before a name is passed over
		sp.function = ""
	}
}
