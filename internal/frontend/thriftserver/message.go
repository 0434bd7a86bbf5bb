package thriftserver

import (
	"strings"
	"time"

	"cresspass"
	"cresspass/internal/bytebudget"
	"cresspass/internal/protocol/thrift"
)

// Message is a decoded frame.
type Message struct {
	// Memory is what the request of a dispatch call may hold. The registry keeps it with an accepted request,
	// and releases it with that request. It is nil if the memory is not limited.
	Memory *bytebudget.Reservation

	request    thrift.Request
	decodeErr  error // set if the frame can't be decoded
	headerOnly bool  // the rest of the frame was not kept
	event      cresspass.Event
	params     Params
	requestErr error // set if the request is invalid
}

// MessageResult is the result of handling a message.
type MessageResult struct {
	Accepted  *Request        // the accepted request, or nil; Event is for the module
	Event     cresspass.Event // QueryArrived, if a request was accepted
	Cancelled *Request        // the request that its client has cancelled, or nil
	Reply     []byte          // to be written at once; nil if there is none

	// Invalid is set if the request itself is invalid. Reason is why, as Reply gives it to the client. Ticket
	// identifies the request.
	Invalid        bool
	Ticket, Reason string

	Rejected bool // the request with Ticket is valid, but was rejected

	EndOfInput bool // no further input on this connection can be read
}

// Decode decodes a complete frame, without its length. The message refers to the frame's bytes. Decode is
// safe for concurrent use, because it reads only what does not change. It needs no lock: under the registry's
// lock, a long statement of one client would delay all others.
func (r *Registry) Decode(frame []byte) (m Message) {
	m.request, m.decodeErr = thrift.ParseRequest(frame)
	if m.decodeErr == nil && m.request.Name == thrift.MethodDispatch {
		m.event, m.params, m.requestErr = parseParams(r.effects, &m.request.Dispatch)
	}
	return m
}

// DecodeHeader decodes the header of a frame of which only the beginning was kept. The message can only be
// rejected.
func (r *Registry) DecodeHeader(beginning []byte) (m Message) {
	m.headerOnly = true
	m.request.Header, m.decodeErr = thrift.ParseHeader(beginning)
	return m
}

// IsDispatch reports whether the message is a dispatch call, whose request holds memory while it is open.
func (m *Message) IsDispatch() bool {
	return m.decodeErr == nil && m.request.Name == thrift.MethodDispatch
}

// HandleMessage handles a message that arrived on a connection. If its request is invalid, the reply contains
// the reason. If the message can't be read, or the connection is closing or not registered, the result has
// EndOfInput set. An accepted request refers to the frame, which must not change any more. In all other cases
// HandleMessage keeps no reference to the frame.
func (r *Registry) HandleMessage(now time.Time, id ConnID, m Message) MessageResult {
	return r.handle(now, id, m, r.rejectNew)
}

// RejectRequest is HandleMessage for a message whose request can't be accepted because there is no memory for
// it. Other calls than dispatch are handled as usual, unless only the beginning of the frame was kept.
func (r *Registry) RejectRequest(now time.Time, id ConnID, m Message) MessageResult {
	return r.handle(now, id, m, true)
}

// handle is HandleMessage, and RejectRequest if reject is set.
func (r *Registry) handle(now time.Time, id ConnID, m Message, reject bool) (result MessageResult) {
	c := r.conns[id]
	if c == nil || c.closing {
		return MessageResult{EndOfInput: true}
	}
	c.sentMessage, c.midMessage, c.lastActive = true, false, now
	result, readable := m.check()
	if readable {
		result = r.call(now, id, c, &m, reject || m.headerOnly)
	}
	if result.Reply != nil {
		c.unwritten++
	}
	return result
}

// check reports whether a message is a readable call. If it is not, result is the result of handling it: the
// client gets a reply if the header names a method.
func (m *Message) check() (result MessageResult, readable bool) {
	switch {
	case m.headerOnly && !m.IsDispatch():
	case m.decodeErr == nil:
		readable = m.request.Type == thrift.Call || m.request.Type == thrift.Oneway
	case m.request.Name != "":
		result.Reply = thrift.ApplicationException{Method: m.request.Name, Type: thrift.ProtocolError,
			Text: m.decodeErr.Error()}.Append(nil, m.request.Seq)
	}
	result.EndOfInput = !readable
	return result, readable
}

// call handles a readable call. reject means that its request can't be accepted.
func (r *Registry) call(now time.Time, id ConnID, c *conn, m *Message, reject bool) (result MessageResult) {
	req := &m.request
	switch req.Name {
	case thrift.MethodDispatch:
		if reject {
			return r.reject(m)
		}
		return r.dispatch(now, id, c, m)
	case thrift.MethodCancelRequest:
		if open := c.open[req.Cancel.TargetSeq]; open != nil {
			r.endRequest(c, open)
			result.Cancelled = open
		}
	default:
		result.Reply = r.otherReply(req)
	}
	return result
}

// otherReply returns the reply to a call other than dispatch and cancelRequest.
func (r *Registry) otherReply(req *thrift.Request) []byte {
	if req.Name == thrift.MethodAlive {
		return thrift.Answer{Method: req.Name, Good: !r.draining}.Append(nil, req.Seq)
	}
	return thrift.ApplicationException{Method: req.Name, Type: thrift.UnknownMethod,
		Text: "unknown method"}.Append(nil, req.Seq)
}

// RejectMessage handles a message on a connection that is not registered because there is no capacity for it.
// A request is rejected; other calls are answered as on any connection.
func (r *Registry) RejectMessage(m Message) MessageResult {
	result, readable := m.check()
	if !readable {
		return result
	}
	switch m.request.Name {
	case thrift.MethodDispatch:
		return r.reject(&m)
	case thrift.MethodCancelRequest:
		return MessageResult{} // no request is open
	}
	return MessageResult{Reply: r.otherReply(&m.request)}
}

// dispatch handles a dispatch call: it accepts the request, or reports why it is invalid.
func (r *Registry) dispatch(now time.Time, id ConnID, c *conn, m *Message) MessageResult {
	accepted, err := r.accept(now, id, c, m)
	if err != nil {
		return invalid(m, err)
	}
	ev := m.event
	ev.Query = accepted.ID
	return MessageResult{Accepted: accepted, Event: ev}
}

// reject returns the result of a request that can't be accepted now: a rejection, or a fault if it is
// invalid.
func (r *Registry) reject(m *Message) MessageResult {
	if m.requestErr != nil {
		return invalid(m, m.requestErr)
	}
	return MessageResult{Rejected: true, Ticket: m.params.Ticket,
		Reply: thrift.DispatchException{Which: thrift.ShedException}.Append(nil, m.request.Seq)}
}

// maxTicketBytes is how much of an invalid ticket is kept, for the log.
const maxTicketBytes = 40

// invalid returns the result of a request that is itself invalid.
func invalid(m *Message, err error) MessageResult {
	ticket := m.params.Ticket
	if len(ticket) > maxTicketBytes {
		ticket = strings.Clone(ticket[:maxTicketBytes]) // a part alone would hold the memory of the whole
	}
	return MessageResult{Invalid: true, Reply: FaultReply(m.request.Seq, err.Error()), Ticket: ticket,
		Reason: err.Error()}
}

// FaultReply returns a reply that fails a request for a reason, which its client receives.
func FaultReply(seq int32, reason string) []byte {
	return thrift.DispatchException{Which: thrift.FaultException,
		Fields: []thrift.Field{{Name: "reason", Value: reason}}}.Append(nil, seq)
}
