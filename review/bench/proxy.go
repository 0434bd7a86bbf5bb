//go:build review

package bench

import (
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// Proxy passes connections on to an engine. While CancelDelay is set, a connection that carries a cancel
// request comes up so much later.
type Proxy struct {
	CancelDelay atomic.Int64 // a time.Duration
	bench       *Bench
	listener    net.Listener
	target      string
}

// Proxy starts a proxy before an engine.
func (b *Bench) Proxy(target string) *Proxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	b.Must(err)
	p := &Proxy{bench: b, listener: ln, target: target}
	go p.accept()
	return p
}

// Addr returns the proxy's address.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

const cancelCode = 80877102 // "Message Formats": CancelRequest

func (p *Proxy) serve(client net.Conn) {
	defer client.Close()
	head := make([]byte, 8)
	if _, err := io.ReadFull(client, head); err != nil {
		return
	}
	if binary.BigEndian.Uint32(head[4:]) == cancelCode {
		delay := time.Duration(p.CancelDelay.Load())
		p.bench.Log("link: a connection with a cancel request, it comes up after %v", delay)
		time.Sleep(delay)
	}
	engine, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer engine.Close()
	if _, err := engine.Write(head); err != nil {
		return
	}
	go func() {
		_, _ = io.Copy(engine, client)
		_ = engine.(*net.TCPConn).CloseWrite()
	}()
	_, _ = io.Copy(client, engine)
}
