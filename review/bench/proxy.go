//go:build review

package bench

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// Proxy is the link to an engine: it passes connections on.
type Proxy struct {
	silent   atomic.Bool
	late     atomic.Int64 // a time.Duration: how much later new connections come up
	bench    *Bench
	name     string
	listener net.Listener
	target   string
}

// Proxy starts a proxy before an engine.
func (b *Bench) Proxy(name, target string) *Proxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	b.Must(err)
	p := &Proxy{bench: b, name: name, listener: ln, target: target}
	go p.accept()
	return p
}

// Addr returns the proxy's address.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetSilent makes the link silent, or ends that: while it is, nothing that the engine sends is passed on, and
// it comes late. Connections stay open.
func (p *Proxy) SetSilent(silent bool) {
	p.bench.Log("link of %s: silent: %v", p.name, silent)
	p.silent.Store(silent)
}

// SetLate makes new connections come up so much later.
func (p *Proxy) SetLate(late time.Duration) {
	p.bench.Log("link of %s: new connections come up %v late", p.name, late)
	p.late.Store(int64(late))
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(client net.Conn) {
	defer client.Close()
	if late := time.Duration(p.late.Load()); late > 0 {
		p.bench.Log("link of %s: a new connection", p.name)
		time.Sleep(late)
	}
	engine, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer engine.Close()
	go func() {
		_, _ = io.Copy(engine, client)
		_ = engine.(*net.TCPConn).CloseWrite()
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := engine.Read(buffer)
		for p.silent.Load() {
			time.Sleep(time.Millisecond)
		}
		if _, writeErr := client.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}
