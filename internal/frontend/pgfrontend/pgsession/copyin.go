package pgsession

import (
	"fmt"

	"cresspass/internal/backend/copyin"
	"cresspass/internal/protocol/pgwire"
)

// Copy-in mode ("COPY Operations"). It starts with the engine's CopyInResponse. The client's CopyData,
// CopyDone and CopyFail then go to the engine, Flush and Sync are skipped, Terminate closes the connection,
// and any other message aborts the copy. The mode ends with CopyDone or CopyFail, or with the query; later
// copy messages are skipped.

// maxIdleCopyData is the largest buffer, in bytes, that a session keeps between two reads of a copy's data.
const maxIdleCopyData = 1 << 12

// StartCopyIn puts the session into copy-in mode and handles what the client has sent ahead. It returns false
// if no query runs.
func (s *Session) StartCopyIn() bool {
	if s.phase != phaseBusy {
		return false
	}
	s.copyIn = true
	s.processInput(nil)
	return true
}

// TakeCopyData returns the copy messages for the engine since the last call, and how the data ended after
// them. The bytes are valid until the next call of any method.
func (s *Session) TakeCopyData() ([]byte, copyin.End) {
	b, end := s.copyData, s.copyEnd
	if s.copyData = s.copyData[:0]; cap(b) > maxIdleCopyData {
		s.copyData = nil
	}
	s.copyEnd = copyin.Open
	return b, end
}

func (s *Session) handleCopyMessage(m pgwire.Message) {
	switch m.Type {
	case 'd': // CopyData
		s.copyData = pgwire.Append(s.copyData, m.Type, m.Body)
	case 'c': // CopyDone
		s.copyData = pgwire.Append(s.copyData, m.Type, m.Body)
		s.endCopyData(copyin.Done)
	case 'f': // CopyFail
		s.copyData = pgwire.Append(s.copyData, m.Type, m.Body)
		s.endCopyData(copyin.Failed)
	case 'H', 'S': // Flush, Sync
	case 'X': // Terminate
		s.phase = phaseClosing
	default:
		// The message is not passed on: an engine that has just ended the copy on its own would run it as a
		// query.
		reason := fmt.Sprintf("unexpected message type 0x%02x during COPY from stdin", m.Type)
		s.copyData = pgwire.AppendText(s.copyData, 'f', reason)
		s.endCopyData(copyin.Failed)
	}
}

// endCopyData leaves copy-in mode and records how the data ended.
func (s *Session) endCopyData(end copyin.End) { s.copyIn, s.copyEnd = false, end }
