package flightsql

import (
	"context"
	"net"
	"slices"
	"sync/atomic"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"cresspass/internal/overload/rapidreset"
)

// limitedListener accepts connections while there is capacity, and closes all others at once.
type limitedListener struct {
	net.Listener
	server *Server
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if acquire := l.server.cfg.AcquireConnection; acquire != nil && !acquire() {
			_ = nc.Close() // gRPC has no way to reject a connection before its own handshake
			continue
		}
		c := &countedConn{Conn: nc, server: l.server}
		l.server.mu.Lock()
		l.server.connsByAddr[nc.RemoteAddr().String()] = c
		l.server.mu.Unlock()
		return c, nil
	}
}

// countedConn is a connection that gives its capacity back when it is closed.
type countedConn struct {
	net.Conn
	server *Server
	closed atomic.Bool
}

func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.server.mu.Lock()
		delete(c.server.connsByAddr, c.RemoteAddr().String())
		c.server.mu.Unlock()
		if c.server.cfg.ReleaseConnection != nil {
			c.server.cfg.ReleaseConnection()
		}
	}
	return c.Conn.Close()
}

// clientConn is a connection as gRPC sees it. Calls on it that bring no token share its session.
type clientConn struct {
	token         string // of the connection's session
	netConn       *countedConn
	basicTokens   []string            // of sessions by Basic authorization; under the server's lock
	limiter       *rapidreset.Limiter // under the server's lock, as is floodDetected
	floodDetected bool
}

// close closes the connection. Its error is ignored: gRPC sees for itself that the connection ended.
func (c *clientConn) close() { _ = c.netConn.Close() }

type connContextKey struct{}

// TagConn adds a clientConn to the context of a new connection, with a token for its session.
func (s *Server) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	c := &clientConn{token: connTokenPrefix + newRandomID(),
		limiter: rapidreset.New(rapidreset.DefaultLimits(), s.now())}
	s.mu.Lock()
	c.netConn = s.connsByAddr[info.RemoteAddr.String()]
	s.clientConns[c] = struct{}{}
	s.mu.Unlock()
	return context.WithValue(ctx, connContextKey{}, c)
}

// HandleConn ends the sessions of a connection that has ended.
func (s *Server) HandleConn(ctx context.Context, st stats.ConnStats) {
	if _, ok := st.(*stats.ConnEnd); !ok {
		return
	}
	c := ctx.Value(connContextKey{}).(*clientConn)
	s.mu.Lock()
	delete(s.clientConns, c)
	tokens := slices.Concat(c.basicTokens, []string{c.token})
	c.basicTokens = nil
	s.mu.Unlock()
	for _, token := range tokens {
		s.endSession(token, connectionClosed)
	}
}

// TagRPC does nothing: calls need no tag.
func (s *Server) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC closes a connection whose client floods the server with calls that it cancels.
func (s *Server) HandleRPC(ctx context.Context, st stats.RPCStats) {
	end, ok := st.(*stats.End)
	c, known := ctx.Value(connContextKey{}).(*clientConn)
	if !ok || !known {
		return
	}
	cancelled := status.Code(end.Error) == codes.Canceled
	s.mu.Lock()
	exceeded := c.limiter.CallEnded(s.now(), end.EndTime.Sub(end.BeginTime), cancelled) && !c.floodDetected
	c.floodDetected = c.floodDetected || exceeded
	s.mu.Unlock()
	if exceeded {
		s.log.Warn("connection closed", "peer", c.netConn.RemoteAddr(),
			"reason", "it opens calls only to cancel them")
		go c.close()
	}
}
