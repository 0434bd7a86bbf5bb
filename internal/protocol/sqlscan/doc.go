// Package sqlscan finds out of a text of SQL what a router must know: which statements it holds, by their
// first words, whether they may change data or a session, what a sqlcommenter comment says, which group of
// tables the text concerns (Group) and its shape without literals (Fingerprint).
//
// It follows PostgreSQL's lexical structure (part II, "Lexical Structure"): quoted texts, E and dollar
// quotes, quoted names, line and nested comments. It does not parse SQL: a word is a word only outside quotes
// and comments, and where words leave a doubt the answer is the cautious one. What follows from the answers
// is for the packages that use them.
package sqlscan
