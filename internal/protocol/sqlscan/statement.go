package sqlscan

// Statement describes one statement of a text.
type Statement struct {
	Text  string    // without surrounding comments and without its semicolon
	Words [4]string // the first words in upper case, without punctuation; "" after the last word

	Writes  bool // it may change data: it does not only read
	Session bool // it names a function whose effect belongs to a session
	Temp    bool // it is a SELECT INTO that creates a temporary table
	// Function is the first function in the text that may leave state in the session: any function except
	// those that are known to leave none. It is written as in the text, without its schema; "": none.
	Function string
}

// readingWords holds the first words of statements that only read, unless a writing word follows.
var readingWords = map[string]bool{
	"SELECT": true, "VALUES": true, "TABLE": true, "SHOW": true, "EXPLAIN": true, "WITH": true,
	"BEGIN": true, "START": true, "ROLLBACK": true, "ABORT": true, "SAVEPOINT": true, "RELEASE": true,
}

// recordWord evaluates a word that is not the statement's first; before is the word in front of it. Every
// word counts, wherever it stands, and a single writing word makes the statement a writing one: WITH and
// EXPLAIN may contain statements that write, and SELECT INTO creates a table.
func (st *Statement) recordWord(word, before string) {
	switch upperWord(word) {
	case "TEMP", "TEMPORARY":
		st.Temp = st.Temp || IsKeyword(before, "INTO")
	case "INSERT", "DELETE", "MERGE", "INTO", "NEXTVAL", "SETVAL":
		st.Writes = true
	case "UPDATE": // SELECT FOR UPDATE only locks
		st.Writes = st.Writes || !IsKeyword(before, "FOR") && !IsKeyword(before, "KEY")
	case "PG_ADVISORY_LOCK", "PG_ADVISORY_LOCK_SHARED", "PG_TRY_ADVISORY_LOCK", "PG_TRY_ADVISORY_LOCK_SHARED",
		"PG_ADVISORY_UNLOCK", "PG_ADVISORY_UNLOCK_SHARED", "PG_ADVISORY_UNLOCK_ALL", "SET_CONFIG":
		st.Session = true
	}
}

// Statements splits a text into its statements. Empty statements are left out.
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

// splitter builds the statements of a text from its tokens.
type splitter struct {
	text       string
	statements []Statement // complete statements

	// State of the current statement.

	statement  Statement
	started    bool
	from, to   int
	wordCount  int    // number of words in statement.Words
	lastWord   string // the last word
	wordBefore string // the word before lastWord, or before the schema that qualifies lastWord
	function   string // the previous token, if it can be a function's name
}

// endStatement completes the current statement, if it has any token.
func (sp *splitter) endStatement() {
	if !sp.started {
		return
	}
	sp.statement.Text = sp.text[sp.from:sp.to]
	*sp = splitter{text: sp.text, statements: append(sp.statements, sp.statement)}
}

// extend extends the current statement over a token, and starts one if there is none.
func (sp *splitter) extend(from, to int) {
	if !sp.started {
		sp.started, sp.from = true, from
	}
	sp.to = to
}

// addWord adds a word outside quotes to the current statement.
func (sp *splitter) addWord(from, to int) {
	word := sp.text[from:to]
	if sp.wordCount < len(sp.statement.Words) {
		sp.statement.Words[sp.wordCount] = upperWord(word)
		sp.wordCount++
	}
	if sp.wordCount == 1 && sp.lastWord == "" {
		sp.statement.Writes = !readingWords[sp.statement.Words[0]]
	} else {
		sp.statement.recordWord(word, sp.lastWord)
	}
	if sp.function == "" || sp.text[from-1] != '.' {
		sp.wordBefore = sp.lastWord
	}
	sp.lastWord, sp.function = word, word
}

// addOther adds a token that is not a word to the current statement: a quoted string or name, a number or
// punctuation.
func (sp *splitter) addOther(from, to int) {
	switch c := sp.text[from]; {
	case c == '(' && sp.function != "":
		before := sp.lastWord
		if sp.function == sp.lastWord {
			before = sp.wordBefore
		}
		sp.statement.recordCall(sp.function, before)
		sp.function = ""
	case c == '"' && to-from > 2:
		sp.function = sp.text[from+1 : to-1]
	case c != '.': // the name after a schema and a period replaces the schema
		sp.function = ""
	}
}
