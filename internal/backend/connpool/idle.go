package connpool

import (
	"slices"
	"time"

	"cresspass"
)

// idleConn is an open connection that no call uses.
type idleConn struct {
	conn  uint64
	since time.Duration // when its last response was complete
}

// grantReuse grants an idle connection to the request's compute node, and reports whether there was one. Of
// those that have been idle for at least minIdle and less than maxIdle, it takes the one that became idle
// last.
func (p *Pool) grantReuse(now time.Duration, req Request) bool {
	if req.Fresh {
		return false
	}
	list := p.idle[req.Engine]
	for i := len(list) - 1; i >= 0; i-- {
		if idleFor := now - list[i].since; idleFor >= p.minIdle && idleFor < p.maxIdle {
			p.grants = append(p.grants, Grant{Type: Reuse, RequestID: req.ID, Conn: list[i].conn})
			p.removeAt(req.Engine, i)
			return true
		}
	}
	return false
}

// evictOldest closes the connection that has been idle longest, if that is at least minIdle, and reports
// whether it closed one.
func (p *Pool) evictOldest(now time.Duration) bool {
	var engine cresspass.EngineID
	var oldest *idleConn
	for e, list := range p.idle {
		if oldest == nil || list[0].olderThan(oldest) {
			engine, oldest = e, &list[0]
		}
	}
	if oldest == nil || now-oldest.since < p.minIdle {
		return false
	}
	p.closeAt(engine, 0)
	return true
}

// olderThan reports whether c became idle before other; equal times are ordered by connection number.
func (c *idleConn) olderThan(other *idleConn) bool {
	return c.since < other.since || c.since == other.since && c.conn < other.conn
}

// closeExpired closes connections that have been idle for maxIdle.
func (p *Pool) closeExpired(now time.Duration) {
	for engine, list := range p.idle {
		expired := 0
		for expired < len(list) && now-list[expired].since >= p.maxIdle {
			expired++
		}
		for range expired {
			p.closeAt(engine, 0)
		}
	}
}

func (p *Pool) closeAt(engine cresspass.EngineID, i int) {
	p.grants = append(p.grants, Grant{Type: Close, Conn: p.idle[engine][i].conn})
	p.removeAt(engine, i)
	p.open--
}

func (p *Pool) removeAt(engine cresspass.EngineID, i int) {
	if list := slices.Delete(p.idle[engine], i, i+1); len(list) > 0 {
		p.idle[engine] = list
	} else {
		delete(p.idle, engine)
	}
}
