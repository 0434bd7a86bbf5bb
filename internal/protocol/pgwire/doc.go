// Package pgwire reads and writes the messages of the PostgreSQL frontend/backend protocol, version 3, as a
// server to clients and as a client to engines. It follows PostgreSQL's documentation, part VII, chapter
// "Frontend/Backend Protocol"; the sections named below are of that chapter.
//
// Reader cuts a stream of bytes into messages. A message's Parse function reads its body, and its Append
// function, beside it, appends the whole message to a buffer. Neither keeps state or does I/O: sockets,
// timeouts and what a message means belong to the packages that use this one.
//
// Reading is incremental: however the bytes are split, the same messages come out. Nothing is allocated for a
// message; its body is a view of the reader's bytes, valid until the next call.
package pgwire
