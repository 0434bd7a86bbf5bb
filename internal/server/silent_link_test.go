package server_test

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// silentLink is the way to an engine. While it is silent, what the engine sends is held back; connections
// stay open.
type silentLink struct {
	silent   atomic.Bool
	listener net.Listener
	target   string
}

// newSilentLink starts a link to an engine's address. It is not silent.
func newSilentLink(t *testing.T, target string) *silentLink {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &silentLink{listener: ln, target: target}
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.accept()
	}()
	t.Cleanup(func() {
		l.silent.Store(false)
		ln.Close()
		<-done
	})
	return l
}

func (l *silentLink) addr() string { return l.listener.Addr().String() }

func (l *silentLink) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(c)
	}
}

func (l *silentLink) serve(client net.Conn) {
	defer client.Close()
	engine, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer engine.Close()
	go func() {
		defer engine.Close()
		io.Copy(engine, client)
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := engine.Read(buffer)
		for l.silent.Load() {
			time.Sleep(time.Millisecond)
		}
		if _, writeErr := client.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}
