package pgsession

import (
	"fmt"

	"cresspass/internal/backend/copyin"
	"cresspass/internal/protocol/pgwire"
)

// Section "COPY Operations". The engine's CopyInResponse opens copy-in mode: from there the client's
// CopyData, CopyDone and CopyFail are the engine's, Flush and Sync are passed over, and anything else aborts
// the copy. The mode ends with CopyDone or CopyFail, or with the query; copy messages that come later are
// passed over.

// StartCopyIn puts the session into copy-in mode; what the client sent ahead is taken now. It returns false
// where no query is out.
func (s *Session) StartCopyIn() bool {
	if s.phase != phaseBusy {
		return false
	}
	s.copyIn = true
	s.reader.Push(nil)
	s.processInput()
	s.bytesAhead = s.reader.Rest()
	return true
}

// TakeCopyData returns the bytes for the engine since the last call, as messages, valid until the next call
// of any method, and how the data ended with them.
func (s *Session) TakeCopyData() ([]byte, copyin.End) {
	b, end := s.copyData, s.copyEnd
	if s.copyData = s.copyData[:0]; cap(b) > 1<<12 {
		s.copyData = nil
	}
	s.copyEnd = copyin.Open
	return b, end
}

func (s *Session) handleCopyMessage(m pgwire.Message) {
	switch m.Type {
	case 'd':
		s.copyData = pgwire.Append(s.copyData, 'd', m.Body)
	case 'c', 'f':
		s.copyData = pgwire.Append(s.copyData, m.Type, m.Body)
		s.copyIn, s.copyEnd = false, copyin.Done
		if m.Type == 'f' {
			s.copyEnd = copyin.Failed
		}
	case 'H', 'S':
	case 'X':
		s.phase = phaseClosing
	default:
		// Danger: passed on, it would be run as a query where the engine has just ended the copy by itself.
		why := fmt.Sprintf("unexpected message type 0x%02x during COPY from stdin", m.Type)
		s.copyData = pgwire.AppendText(s.copyData, 'f', why)
		s.copyIn, s.copyEnd = false, copyin.Failed
	}
}
