package platform

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cresspass/internal/goldentest"
	"cresspass/internal/protocol/thrift"
)

// The files under testdata hold data that other processes write to a dispatcher or read from it. Their format
// must not change when the code changes.

// TestGoldenConfig checks that the keys of the platform's configuration and their meaning do not change.
func TestGoldenConfig(t *testing.T) {
	h := &harness{t: t, discovery: &fakeDiscovery{}, sockets: 256}
	h.discovery.add(true, "s-1", "127.0.0.1:1", "up")
	goldentest.Compare(t, "config.json", h.config("127.0.0.1:2"))
	cfg, err := Load(filepath.Join("testdata", "config.json"))
	if err != nil {
		t.Fatal(err)
	}
	got := fmt.Sprintln(
		cfg.Name,
		cfg.Listen,
		cfg.Seed,
		cfg.Limits.Cores,
		cfg.Limits.MemoryMB,
		cfg.Limits.Sockets,
		cfg.DiscoveryAddr,
		cfg.Known.Revision,
		cfg.ConnectTimeout,
		cfg.ConnIdleTimeout,
		cfg.Module.Seed,
		cfg.Module.LoadReportFields,
	)
	want := fmt.Sprintln("n0", "127.0.0.1:0", "8c1f30d27a5be964", 1, 64, 256, "127.0.0.1:2", 1,
		250*time.Millisecond, 15*time.Second, uint64(0x8c1f30d27a5be964)>>1, []string{"load_share", "depth"})
	if got != want {
		t.Errorf("got  %swant %s", got, want)
	}
	if n := cfg.Known.Events; len(n) != 1 || n[0].Revision != 1 || n[0].List == nil || !n[0].List.Full ||
		len(n[0].List.Endpoints) != 1 || n[0].List.Endpoints[0].ID != "s-1" ||
		n[0].List.Endpoints[0].Addr != "127.0.0.1:1" || n[0].List.Endpoints[0].State != "up" {
		t.Errorf("known events: %+v", n)
	}
	var classes []string
	for _, c := range cfg.Module.Classes {
		classes = append(classes, c.Name+" "+c.Deadline.String())
	}
	if want := []string{"quick 2s", "load 8s", "turn 8s"}; !slices.Equal(classes, want) {
		t.Errorf("classes %q, want %q", classes, want)
	}
}

// recorder is a proxy in front of a server that records the bytes sent by the client on each connection.
type recorder struct {
	mu    sync.Mutex
	conns []*bytes.Buffer
}

// newRecorder starts a recorder in front of a server, and returns it and its address.
func newRecorder(t *testing.T, server string) (*recorder, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	r := &recorder{}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r.forward(c, server)
		}
	}()
	return r, ln.Addr().String()
}

func (r *recorder) forward(c net.Conn, server string) {
	to, err := net.Dial("tcp", server)
	if err != nil {
		c.Close()
		return
	}
	received := &bytes.Buffer{}
	r.mu.Lock()
	r.conns = append(r.conns, received)
	r.mu.Unlock()
	go func() {
		defer c.Close()
		io.Copy(c, to)
	}()
	go func() {
		defer to.Close()
		b := make([]byte, 4096)
		for {
			n, err := c.Read(b)
			r.mu.Lock()
			received.Write(b[:n])
			r.mu.Unlock()
			if _, failed := to.Write(b[:n]); err != nil || failed != nil {
				return
			}
		}
	}()
}

var (
	contentLength = regexp.MustCompile(`(?i)\r\ncontent-length: (\d+)`)
	varying       = regexp.MustCompile(`(?i)\r\n(host|x-max-ms): [^\r]*`)
)

// requests returns the recorded requests, sorted and without duplicates, with "*" for host and deadline.
func (r *recorder) requests() (list []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, received := range r.conns {
		rest := received.String()
		for {
			head, body, found := strings.Cut(rest, "\r\n\r\n")
			length := 0
			if m := contentLength.FindStringSubmatch(head); m != nil {
				length, _ = strconv.Atoi(m[1])
			}
			if !found || len(body) < length {
				break
			}
			list = append(list, varying.ReplaceAllString(head, "\r\n$1: *")+"\r\n\r\n"+body[:length])
			rest = body[length:]
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// TestGoldenRequests checks that the bytes sent to compute nodes and to the discovery service do not change.
func TestGoldenRequests(t *testing.T) {
	h := &harness{t: t, node: newFakeNode(t), discovery: newFakeDiscovery(t), sockets: 256,
		path: filepath.Join(t.TempDir(), "config.json")}
	h.node.pages = 2
	toNode, nodeAddr := newRecorder(t, serverAddr(h.node.Server))
	toDiscovery, discoveryAddr := newRecorder(t, serverAddr(h.discovery.Server))
	h.discovery.add(true, "s-1", nodeAddr, "up")
	h.writeConfig(h.config(discoveryAddr))
	h.startService(io.Discard)
	client := h.dial()
	client.mustServe(1, 2)
	client.send(requestFields(ticket(2), "load", "8000", "unique", strings.Repeat("ab", 16)))
	if got := client.receive(); got.kind != "answer" {
		t.Fatalf("request with an idempotency key: %+v", got)
	}
	h.node.keepRunning(0, ticket(3))
	seq := client.send(requestFields(ticket(3), "quick", "60000"))
	eventually(t, "the query is polled", func() bool { return h.node.callCount("GET 0 "+ticket(3)) > 0 })
	client.conn.Write(thrift.CancelRequest{TargetSeq: seq}.Append(nil, 99))
	eventually(t, "the query is cancelled", func() bool { return h.node.callCount("DELETE "+ticket(3)) == 1 })
	h.checkHealth("s-1", nodeAddr)
	goldentest.Compare(t, "node_requests.txt", []byte(strings.Join(toNode.requests(), "\n----\n")))
	eventually(t, "discovery is polled", func() bool { return len(toDiscovery.requests()) > 0 })
	goldentest.Compare(t, "discovery_request.txt", []byte(strings.Join(toDiscovery.requests(), "\n----\n")))
}

// TestGoldenReplies checks that the bytes of replies to clients do not change.
func TestGoldenReplies(t *testing.T) {
	h := newHarness(t, 256)
	h.node.pages = 2
	client := h.dial()
	var got bytes.Buffer
	reply := func(name string) {
		t.Helper()
		var head [4]byte
		if _, err := io.ReadFull(client.reader, head[:]); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		frame := make([]byte, int(head[2])<<8|int(head[3]))
		if _, err := io.ReadFull(client.reader, frame); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		fmt.Fprintf(&got, "%s\n%s", name, hex.Dump(append(head[:], frame...)))
	}
	client.conn.Write(thrift.Alive{}.Append(nil, 100))
	reply("alive")
	client.send(requestFields(ticket(1), "quick", "2000"))
	reply("answer of two pages")
	client.send(requestFields(ticket(2), "quick", "1"))
	reply("shed, with a time to come back")
	client.send(requestFields(ticket(3), "quack", "2000"))
	reply("fault of the request")
	client.conn.Write([]byte{0, 0, 0, 17, 0x80, 1, 0, 1, 0, 0, 0, 4, 'n', 'o', 'n', 'e', 0, 0, 0, 9, 0})
	reply("no such method")
	goldentest.Compare(t, "client_replies.txt", got.Bytes())
}
