package thriftserver

import (
	"time"

	"cresspass"
	"cresspass/internal/protocol/thrift"
)

// Message is a decoded frame.
type Message struct {
	request    thrift.Request
	decodeErr  error // why the frame can't be read
	event      cresspass.Event
	params     Params
	requestErr error // what is wrong with the request
}

// MessageResult is what a message means for its connection.
type MessageResult struct {
	Accepted  *Request        // a request was accepted; Event is for the module
	Event     cresspass.Event // QueryArrived
	Cancelled *Request        // its client no longer waits for it
	Reply     []byte          // to be written at once

	// Invalid: the request itself was at fault, for the Reason that Reply gives its client. Ticket is the
	// request's id.
	Invalid        bool
	Ticket, Reason string

	Rejected bool // the request of that Ticket was rejected

	EndOfInput bool // nothing further on this connection can be read
}

// Decode reads a complete frame, without its length; the message points into it. It looks at nothing that
// changes, so that the registry's lock need not be held: under it, a long statement of one client would
// keep all others waiting.
func (r *Registry) Decode(frame []byte) (m Message) {
	m.request, m.decodeErr = thrift.ParseRequest(frame)
	if m.decodeErr == nil && m.request.Name == thrift.MethodDispatch {
		m.event, m.params, m.requestErr = parseParams(r.effects, &m.request.Dispatch)
	}
	return m
}

// HandleMessage takes a message. Where a request is at fault the reply says why; where the message
// can't be read, or after EndMalformed, the connection is at its end. Nothing of the frame is kept.
func (r *Registry) HandleMessage(now time.Time, id ConnID, m Message) (result MessageResult) {
	c := r.conns[id]
	if c == nil || c.closing {
		return MessageResult{EndOfInput: true}
	}
	c.sentMessage, c.midMessage, c.lastActive = true, false, now
	result, readable := m.check()
	if readable {
		result = r.call(now, id, c, &m)
	}
	if result.Reply != nil {
		c.unwritten++
	}
	return result
}

// check reports whether a message is a call that can be read; the result is that of one that is not. Its
// client gets a reply where the header names a method.
func (m *Message) check() (result MessageResult, readable bool) {
	switch {
	case m.decodeErr == nil:
		readable = m.request.Type == thrift.Call || m.request.Type == thrift.Oneway
	case m.request.Name != "":
		result.Reply = thrift.ApplicationException{Method: m.request.Name, Type: thrift.ProtocolError,
			Text: m.decodeErr.Error()}.Append(nil, m.request.Seq)
	}
	result.EndOfInput = !readable
	return result, readable
}

// call handles a call of one of the methods.
func (r *Registry) call(now time.Time, id ConnID, c *conn, m *Message) (result MessageResult) {
	req := &m.request
	switch req.Name {
	case thrift.MethodDispatch:
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

// otherReply is the reply to a call that concerns no request.
func (r *Registry) otherReply(req *thrift.Request) []byte {
	if req.Name == thrift.MethodAlive {
		return thrift.Answer{Method: req.Name, Good: !r.draining}.Append(nil, req.Seq)
	}
	return thrift.ApplicationException{Method: req.Name, Type: thrift.UnknownMethod,
		Text: "unknown method"}.Append(nil, req.Seq)
}

// RejectMessage takes a message on a connection for which there is no capacity, and which the registry does
// not hold. A request is rejected; all else is answered as on any connection.
func (r *Registry) RejectMessage(m Message) MessageResult {
	result, readable := m.check()
	if !readable {
		return result
	}
	switch m.request.Name {
	case thrift.MethodDispatch:
		return r.reject(&m)
	case thrift.MethodCancelRequest:
		return MessageResult{} // nothing is open
	}
	return MessageResult{Reply: r.otherReply(&m.request)}
}

// dispatch handles a query.
func (r *Registry) dispatch(now time.Time, id ConnID, c *conn, m *Message) MessageResult {
	if r.ending {
		return r.reject(m)
	}
	accepted, err := r.accept(now, id, c, m)
	if err != nil {
		return invalid(m, err)
	}
	ev := m.event
	ev.Query = accepted.ID
	return MessageResult{Accepted: accepted, Event: ev}
}

// reject is the result of a request that is not accepted, whatever it is.
func (r *Registry) reject(m *Message) MessageResult {
	if m.requestErr != nil {
		return invalid(m, m.requestErr)
	}
	return MessageResult{Rejected: true, Ticket: m.params.Ticket,
		Reply: thrift.DispatchException{Which: thrift.ShedException}.Append(nil, m.request.Seq)}
}

// invalid is the result of a request that is itself at fault.
func invalid(m *Message, err error) MessageResult {
	return MessageResult{Invalid: true, Reply: FaultReply(m.request.Seq, err.Error()),
		Ticket: m.params.Ticket, Reason: err.Error()}
}

// FaultReply is the reply to a request that is itself at fault.
func FaultReply(seq int32, reason string) []byte {
	return thrift.DispatchException{Which: thrift.FaultException,
		Fields: []thrift.Field{{Name: "reason", Value: reason}}}.Append(nil, seq)
}
