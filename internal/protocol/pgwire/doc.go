// Package pgwire reads and writes the messages of the PostgreSQL frontend/backend protocol, version 3, as a
// server to clients and as a client to engines. It follows PostgreSQL's documentation, part VII, chapter
// "Frontend/Backend Protocol". Section names in comments refer to that chapter.
//
// Reader splits a stream of bytes into messages. A message's Parse function parses its body, and its Append
// function appends the whole message to a buffer. Neither keeps state or does I/O: sockets, timeouts and the
// meaning of messages belong to the packages that use this one.
//
// Reading is incremental: the messages do not depend on how the stream is split. Nothing is allocated for a
// message; its body is a view of the reader's bytes, valid until the next call of Rest.
package pgwire
