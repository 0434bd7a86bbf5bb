//go:build review

package lab2

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cresspass/internal/protocol/thrift"
)

// Endpoint is a compute node in a list of the notice board.
type Endpoint struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// Board is a notice board: it streams its events and a comment each second.
type Board struct {
	Addr string

	mu      sync.Mutex
	events  []string
	changed chan struct{}
}

// NewBoard starts a notice board whose first event is the whole list.
func (l *Lab) NewBoard(all ...Endpoint) *Board {
	b := &Board{changed: make(chan struct{})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	l.Check(err)
	b.Addr = ln.Addr().String()
	b.add(true, all)
	go http.Serve(ln, http.HandlerFunc(b.serve))
	return b
}

// Tell adds an event with what has changed.
func (b *Board) Tell(changed ...Endpoint) { b.add(false, changed) }

func (b *Board) add(full bool, list []Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	data, _ := json.Marshal(list)
	n := len(b.events) + 1
	b.events = append(b.events, fmt.Sprintf(
		`{"rev":%d,"pool":{"version":%d,"full":%v,"servers":%s}}`, n, n, full, data))
	close(b.changed)
	b.changed = make(chan struct{})
}

// Known returns the events so far in the form of the configuration.
func (b *Board) Known() json.RawMessage {
	b.mu.Lock()
	defer b.mu.Unlock()
	text := fmt.Sprintf(`{"rev":%d,"notices":[`, len(b.events))
	for i, event := range b.events {
		if i > 0 {
			text += ","
		}
		text += event
	}
	return json.RawMessage(text + "]}")
}

func (b *Board) serve(w http.ResponseWriter, r *http.Request) {
	next, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for r.Context().Err() == nil {
		b.mu.Lock()
		events, changed := b.events, b.changed
		b.mu.Unlock()
		for ; next < len(events); next++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", next+1, events[next])
		}
		io.WriteString(w, ": here\n\n")
		w.(http.Flusher).Flush()
		select {
		case <-changed:
		case <-time.After(time.Second):
		case <-r.Context().Done():
		}
	}
}

// StartNode starts a dispatcher by the command `run` of the deploy file, with the given limits and settings,
// and waits until it serves. It returns the address for clients.
func (l *Lab) StartNode(board *Board, memoryMB, sockets int, settings string) (*Proc, string) {
	addr := l.FreeAddr()
	config, err := json.Marshal(map[string]any{"name": "n0", "listen": addr, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
		"board":  board.Addr, "known": board.Known(), "settings": json.RawMessage(settings)})
	l.Check(err)
	path := l.WriteFile("config.json", string(config))
	env := []string{"ROUTER_NAME=n0", "ROUTER_LISTEN=" + addr, "ROUTER_CONFIG=" + path, "TMPDIR=" + l.Dir}
	p := l.Start("dispatcher", env, "/bin/sh", "-c", "exec bin/cresspass node")
	c, err := dialUntil(addr, 10*time.Second)
	if err != nil {
		l.Fail("the dispatcher does not listen: %v\n%s", err, tail(p.Log(), 20))
	}
	c.Alive()
	if got := c.Read(); got.Kind != "answer" {
		l.Fail("the dispatcher is not alive: %+v", got)
	}
	c.Conn.Close()
	return p, addr
}

func dialUntil(addr string, within time.Duration) (c *Client, err error) {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if c, err = DialNode(addr); err == nil {
			return c, nil
		}
	}
	return nil, err
}

// Client is a client's connection to a dispatcher of the platform.
type Client struct {
	Conn   net.Conn
	reader *bufio.Reader
	seq    int32
}

// DialNode connects to a dispatcher of the platform.
func DialNode(addr string) (*Client, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Client{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Alive sends a call of alive.
func (c *Client) Alive() { c.seq++; c.Conn.Write(thrift.Alive{}.Append(nil, c.seq)) }

// Request is a request of a client.
type Request struct {
	ID, Class string
	Limit     time.Duration
	Cost      time.Duration // the estimate of the work
	Body      string
	More      map[string]string // further fields
}

// Send sends a request and returns its sequence number.
func (c *Client) Send(r Request) (seq int32, err error) {
	c.seq++
	fields := thrift.Fields{{Name: "verb", Value: r.Class}, {Name: "txn", Value: r.ID},
		{Name: "limit", Value: strconv.FormatInt(r.Limit.Milliseconds(), 10)},
		{Name: "cpu", Value: strconv.FormatInt(r.Cost.Milliseconds(), 10)}, {Name: "heap_mb", Value: "16"}}
	for name, value := range r.More {
		fields = append(fields, thrift.Field{Name: name, Value: value})
	}
	_, err = c.Conn.Write(thrift.Dispatch{Fields: fields, Body: []byte(r.Body)}.Append(nil, c.seq))
	return c.seq, err
}

// Got is what a client receives. Kind is answer, shed, fault or exception; closed, if the connection ends
// before a reply; cut, if it ends within one.
type Got struct {
	Kind string
	Seq  int32
	Text string
}

// Read reads the next reply.
func (c *Client) Read() Got {
	var head [4]byte
	if _, err := io.ReadFull(c.reader, head[:]); err != nil {
		return Got{Kind: "closed", Text: err.Error()}
	}
	b := make([]byte, binary.BigEndian.Uint32(head[:]))
	if _, err := io.ReadFull(c.reader, b); err != nil {
		return Got{Kind: "cut", Text: err.Error()}
	}
	h, err := thrift.ParseRequest(b)
	if err != nil && h.Name == "" {
		return Got{Kind: "unreadable", Text: err.Error()}
	}
	at := 4 + 4 + len(h.Name) + 4
	got := Got{Kind: "exception", Seq: h.Seq, Text: string(b[at:])}
	if h.Type == thrift.Reply && len(b) > at+2 {
		got.Kind = map[byte]string{0: "answer", 1: "shed", 2: "fault"}[b[at+2]]
	}
	return got
}
