package platform

import (
	"context"
	"errors"
	"strings"
	"testing"

	peer "github.com/apache/thrift/lib/go/thrift"
)

// This file tests the dispatcher with Apache's Thrift library, as the platform's clients use it: the
// dispatcher reads what the library writes, and the library reads all replies of the dispatcher. The structs
// correspond to those that Apache's generator would make from the platform's definitions.

type stringMap map[string]string

func (m stringMap) write(ctx context.Context, p peer.TProtocol, id int16) error {
	errs := []error{p.WriteFieldBegin(ctx, "fields", peer.MAP, id),
		p.WriteMapBegin(ctx, peer.STRING, peer.STRING, len(m))}
	for k, v := range m {
		errs = append(errs, p.WriteString(ctx, k), p.WriteString(ctx, v))
	}
	return errors.Join(append(errs, p.WriteMapEnd(ctx), p.WriteFieldEnd(ctx))...)
}

func (m stringMap) read(ctx context.Context, p peer.TProtocol) error {
	_, _, n, err := p.ReadMapBegin(ctx)
	for ; err == nil && n > 0; n-- {
		var k, v string
		if k, err = p.ReadString(ctx); err == nil {
			v, err = p.ReadString(ctx)
		}
		m[k] = v
	}
	return errors.Join(err, p.ReadMapEnd(ctx))
}

// callArgs writes the arguments of a method.
type callArgs func(ctx context.Context, p peer.TProtocol) error

func (a callArgs) Write(ctx context.Context, p peer.TProtocol) error {
	return errors.Join(p.WriteStructBegin(ctx, "args"), a(ctx, p), p.WriteFieldStop(ctx),
		p.WriteStructEnd(ctx))
}

func (a callArgs) Read(context.Context, peer.TProtocol) error { return errors.New("not read") }

func dispatchArgs(fields stringMap, body string) callArgs {
	return func(ctx context.Context, p peer.TProtocol) error {
		return errors.Join(fields.write(ctx, p, 1), p.WriteFieldBegin(ctx, "body", peer.STRING, 2),
			p.WriteBinary(ctx, []byte(body)), p.WriteFieldEnd(ctx))
	}
}

// callOutcome is the result of a method: an Answer or one of the two exceptions.
type callOutcome struct {
	which  int16 // 0: Answer, 1: Shed, 2: Fault
	body   []byte
	fields stringMap
	good   bool
}

func (r *callOutcome) Write(context.Context, peer.TProtocol) error { return errors.New("not written") }

// readStruct reads a struct, and calls f to read each field.
func readStruct(ctx context.Context, p peer.TProtocol, f func(id int16) error) error {
	if _, err := p.ReadStructBegin(ctx); err != nil {
		return err
	}
	for {
		_, kind, id, err := p.ReadFieldBegin(ctx)
		if err != nil || kind == peer.STOP {
			return errors.Join(err, p.ReadStructEnd(ctx))
		}
		if err := errors.Join(f(id), p.ReadFieldEnd(ctx)); err != nil {
			return err
		}
	}
}

func (r *callOutcome) Read(ctx context.Context, p peer.TProtocol) error {
	r.fields = stringMap{}
	return readStruct(ctx, p, func(which int16) error {
		r.which = which
		return readStruct(ctx, p, func(id int16) (err error) {
			switch {
			case which == 0 && id == 1:
				r.body, err = p.ReadBinary(ctx)
			case which == 0 && id == 3:
				r.good, err = p.ReadBool(ctx)
			default:
				err = r.fields.read(ctx, p)
			}
			return err
		})
	})
}

// TestApacheThriftClient checks that Apache's library reads each kind of reply as the platform defines it: a
// result of several pages, a rejection with a retry time, a fault with a reason, an application exception,
// and no reply to a cancelled request.
func TestApacheThriftClient(t *testing.T) {
	h := newHarness(t, 256)
	h.node.pages = 3
	ctx, cfg := t.Context(), &peer.TConfiguration{TBinaryStrictRead: new(true), TBinaryStrictWrite: new(true)}
	socket := peer.NewTSocketConf(h.frontend.listener.Addr().String(), cfg)
	if err := socket.Open(); err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	protocol := peer.NewTBinaryProtocolConf(peer.NewTFramedTransportConf(socket, cfg), cfg)
	client := peer.NewTStandardClient(protocol, protocol)
	call := func(method string, a callArgs) (got callOutcome) {
		t.Helper()
		if _, err := client.Call(ctx, method, a, &got); err != nil {
			t.Fatalf("%s: %v", method, err)
		}
		return got
	}
	ask := func(n int, limit string, more ...string) callOutcome {
		t.Helper()
		m := stringMap{}
		for _, f := range requestFields(ticket(n), "quick", limit, more...) {
			m[f.Name] = f.Value
		}
		return call("dispatch", dispatchArgs(m, "SELECT 1 FROM sales_3.t"))
	}
	unused := callArgs(func(ctx context.Context, p peer.TProtocol) error {
		return errors.Join(p.WriteFieldBegin(ctx, "unused", peer.BOOL, 1), p.WriteBool(ctx, true))
	})
	if got := call("alive", unused); got.which != 0 || !got.good {
		t.Errorf("alive: %+v", got)
	}
	want := row(ticket(1), 0) + row(ticket(1), 1) + row(ticket(1), 2)
	if got := ask(1, "2000"); got.which != 0 || !got.good || string(got.body) != want {
		t.Errorf("served: %+v, %s", got, got.body)
	}
	if got := ask(2, "1"); got.which != 1 || got.fields["later"] != "2000" {
		t.Errorf("rejected: %+v", got)
	}
	if got := ask(3, "2000", "verb", "none"); got.which != 2 ||
		!strings.HasPrefix(got.fields["reason"], "verb") {
		t.Errorf("invalid request: %+v", got)
	}
	h.node.keepRunning(0, ticket(4))
	if err := client.Send(ctx, protocol, 100, "dispatch", dispatchArgs(stringMap{"txn": ticket(4),
		"verb": "quick", "limit": "20000"}, "SELECT 1")); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the query is sent", func() bool { return h.node.callCount("POST "+ticket(4)) == 1 })
	if _, err := client.Call(ctx, "cancelRequest", callArgs(func(
		ctx context.Context, p peer.TProtocol) error {
		return errors.Join(p.WriteFieldBegin(ctx, "seqid", peer.I32, 1), p.WriteI32(ctx, 100))
	}), nil); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the query is cancelled", func() bool { return h.node.callCount("DELETE "+ticket(4)) == 1 })
	var exception peer.TApplicationException
	if _, err := client.Call(ctx, "none", unused, &callOutcome{}); !errors.As(err, &exception) ||
		exception.TypeId() != peer.UNKNOWN_METHOD {
		t.Errorf("unknown method: %v", err)
	}
	if _, err := client.Call(ctx, "dispatch", callArgs(func(ctx context.Context, p peer.TProtocol) error {
		return errors.Join(p.WriteFieldBegin(ctx, "fields", peer.MAP, 1),
			p.WriteMapBegin(ctx, peer.I32, peer.I32, 1), p.WriteI32(ctx, 1), p.WriteI32(ctx, 1))
	}), &callOutcome{}); !errors.As(err, &exception) || exception.TypeId() != peer.PROTOCOL_ERROR {
		t.Errorf("malformed arguments: %v", err)
	}
}
