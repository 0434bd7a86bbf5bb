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

// Copy puts the session into copy-in mode; what the client sent ahead is taken now. It returns false where no
// query is out.
func (s *Session) Copy() bool {
	if s.phase != phaseBusy {
		return false
	}
	s.copying = true
	s.reader.Push(nil)
	s.drain()
	s.ahead = s.reader.Rest()
	return true
}

// Copied returns the bytes for the engine since the last call, as messages, valid until the next call of any
// method, and how the data ended with them.
func (s *Session) Copied() ([]byte, copyin.End) {
	b, end := s.copied, s.copyEnd
	if s.copied = s.copied[:0]; cap(b) > 1<<12 {
		s.copied = nil
	}
	s.copyEnd = copyin.Open
	return b, end
}

func (s *Session) copyMessage(m pgwire.Message) {
	switch m.Type {
	case 'd':
		s.copied = pgwire.Append(s.copied, 'd', m.Body)
	case 'c', 'f':
		s.copied = pgwire.Append(s.copied, m.Type, m.Body)
		s.copying, s.copyEnd = false, copyin.Done
		if m.Type == 'f' {
			s.copyEnd = copyin.Failed
		}
	case 'H', 'S':
	case 'X':
		s.phase = phaseOver
	default:
		// Danger: passed on, it would be run as a query where the engine has just ended the copy by itself.
		why := fmt.Sprintf("unexpected message type 0x%02x during COPY from stdin", m.Type)
		s.copied = pgwire.AppendText(s.copied, 'f', why)
		s.copying, s.copyEnd = false, copyin.Failed
	}
}
