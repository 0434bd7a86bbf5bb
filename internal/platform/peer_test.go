package platform

import (
	"context"
	"errors"
	"strings"
	"testing"

	peer "github.com/apache/thrift/lib/go/thrift"
)

// Apache's own library as the platform's clients use it: what it writes is read, and it reads all that a
// dispatcher answers. The structs are what its generator would make of the platform's definitions.

type texts map[string]string

func (m texts) write(ctx context.Context, p peer.TProtocol, id int16) error {
	errs := []error{p.WriteFieldBegin(ctx, "fields", peer.MAP, id),
		p.WriteMapBegin(ctx, peer.STRING, peer.STRING, len(m))}
	for k, v := range m {
		errs = append(errs, p.WriteString(ctx, k), p.WriteString(ctx, v))
	}
	return errors.Join(append(errs, p.WriteMapEnd(ctx), p.WriteFieldEnd(ctx))...)
}

func (m texts) read(ctx context.Context, p peer.TProtocol) error {
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

// args are the arguments of any of the methods.
type args func(ctx context.Context, p peer.TProtocol) error

func (a args) Write(ctx context.Context, p peer.TProtocol) error {
	return errors.Join(p.WriteStructBegin(ctx, "args"), a(ctx, p), p.WriteFieldStop(ctx),
		p.WriteStructEnd(ctx))
}

func (a args) Read(context.Context, peer.TProtocol) error { return errors.New("not read") }

func dispatchArgs(fields texts, body string) args {
	return func(ctx context.Context, p peer.TProtocol) error {
		return errors.Join(fields.write(ctx, p, 1), p.WriteFieldBegin(ctx, "body", peer.STRING, 2),
			p.WriteBinary(ctx, []byte(body)), p.WriteFieldEnd(ctx))
	}
}

// result is what a method returns: an Answer, or one of the two exceptions.
type result struct {
	which  int16 // 0: Answer, 1: Shed, 2: Fault
	body   []byte
	fields texts
	good   bool
}

func (r *result) Write(context.Context, peer.TProtocol) error { return errors.New("not written") }

// each reads a struct's fields.
func each(ctx context.Context, p peer.TProtocol, f func(id int16) error) error {
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

func (r *result) Read(ctx context.Context, p peer.TProtocol) error {
	r.fields = texts{}
	return each(ctx, p, func(which int16) error {
		r.which = which
		return each(ctx, p, func(id int16) (err error) {
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

// TestApachesClient: served over pages, refused with a time to come back, failed with a reason, an
// application exception, a request taken back: each is what the library makes of the definitions.
func TestApachesClient(t *testing.T) {
	r := newRig(t, 256)
	r.node.pages = 3
	ctx, cfg := t.Context(), &peer.TConfiguration{TBinaryStrictRead: new(true), TBinaryStrictWrite: new(true)}
	socket := peer.NewTSocketConf(r.front.ln.Addr().String(), cfg)
	if err := socket.Open(); err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	protocol := peer.NewTBinaryProtocolConf(peer.NewTFramedTransportConf(socket, cfg), cfg)
	client := peer.NewTStandardClient(protocol, protocol)
	call := func(method string, a args) (got result) {
		t.Helper()
		if _, err := client.Call(ctx, method, a, &got); err != nil {
			t.Fatalf("%s: %v", method, err)
		}
		return got
	}
	ask := func(n int, limit string, more ...string) result {
		t.Helper()
		m := texts{}
		for _, f := range fields(ticket(n), "quick", limit, more...) {
			m[f[0]] = f[1]
		}
		return call("dispatch", dispatchArgs(m, "SELECT 1 FROM sales_3.t"))
	}
	unused := args(func(ctx context.Context, p peer.TProtocol) error {
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
		t.Errorf("refused: %+v", got)
	}
	if got := ask(3, "2000", "verb", "none"); got.which != 2 ||
		!strings.HasPrefix(got.fields["reason"], "verb") {
		t.Errorf("at fault: %+v", got)
	}
	r.node.withhold(0, ticket(4))
	client.Send(ctx, protocol, 100, "dispatch", dispatchArgs(texts{"txn": ticket(4), "verb": "quick",
		"limit": "20000"}, "SELECT 1"))
	within(t, "the query is sent", func() bool { return r.node.count("POST "+ticket(4)) == 1 })
	if _, err := client.Call(ctx, "cancelRequest", args(func(ctx context.Context, p peer.TProtocol) error {
		return errors.Join(p.WriteFieldBegin(ctx, "seqid", peer.I32, 1), p.WriteI32(ctx, 100))
	}), nil); err != nil {
		t.Fatal(err)
	}
	within(t, "it is given up", func() bool { return r.node.count("DELETE "+ticket(4)) == 1 })
	var exception peer.TApplicationException
	if _, err := client.Call(ctx, "none", unused, &result{}); !errors.As(err, &exception) ||
		exception.TypeId() != peer.UNKNOWN_METHOD {
		t.Errorf("no such method: %v", err)
	}
	if _, err := client.Call(ctx, "dispatch", args(func(ctx context.Context, p peer.TProtocol) error {
		return errors.Join(p.WriteFieldBegin(ctx, "fields", peer.MAP, 1),
			p.WriteMapBegin(ctx, peer.I32, peer.I32, 1), p.WriteI32(ctx, 1), p.WriteI32(ctx, 1))
	}), &result{}); !errors.As(err, &exception) || exception.TypeId() != peer.PROTOCOL_ERROR {
		t.Errorf("arguments that can't be read: %v", err)
	}
}
