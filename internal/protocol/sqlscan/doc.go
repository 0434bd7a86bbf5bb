// Package sqlscan extracts from an SQL text what a router needs to know: its statements and their first
// words, whether they may change data or session state (Statements), the tags of sqlcommenter comments
// (Tags), the group of tables that the text concerns (Group), and a hash of the text without its literals
// (Fingerprint).
//
// It follows PostgreSQL's lexical structure (part II, "Lexical Structure"): quoted strings, E strings, dollar
// quotes, quoted names, line comments and nested comments. It does not parse SQL: it looks at words outside
// quotes and comments, and if these leave a doubt, the answer is the cautious one. The packages that use the
// answers decide what follows from them.
package sqlscan
