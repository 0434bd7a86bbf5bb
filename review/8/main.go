//go:build review

// Case 8: at a planned restart, clients behind slow links get the beginning of their answers only.
package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"cresspass/review/lab2"
)

const (
	clients      = 60
	rowBytes     = 1000
	fewestRows   = 1000
	moreRows     = 150              // of each further client
	bytesASecond = 2_000_000        // that each client reads
	window       = 64 << 10         // bytes that are under way to a client
	termAt       = time.Second      // from the begin
	deadline     = 20 * time.Second // of the class report; longer than any answer takes here
)

func main() {
	l := lab2.New("review/8")
	roster := l.StartRoster(l.StartEngine("engine-1"), l.StartEngine("engine-2"))
	addr := l.FreeAddr()
	settings := l.WriteFile("serve.hcl", fmt.Sprintf(lab2.ServeSettings, addr, roster))
	dispatcher := l.StartServe("dispatcher", settings)
	var all sync.WaitGroup
	begun := time.Now()
	for i := range clients {
		c, err := lab2.DialPGWindow(addr, window)
		l.Check(err)
		all.Go(func() { fetch(l, c, i, begun) })
	}
	time.Sleep(time.Until(begun.Add(termAt)))
	if l.Trouble {
		l.Note("SIGTERM to the dispatcher")
		l.Check(dispatcher.Signal(syscall.SIGTERM))
	}
	all.Wait()
	l.Finish()
}

// fetch asks for a report, reads the answer at bytesASecond, and checks that it is final: all rows, or an
// error.
func fetch(l *lab2.Lab, c *lab2.PGClient, client int, begun time.Time) {
	wanted := fewestRows + moreRows*client
	c.Conn.SetDeadline(begun.Add(deadline))
	text := fmt.Sprintf("select 1 /*class='report',work_ms='20',rows='%d',row_bytes='%d'*/", wanted, rowBytes)
	l.Check(c.Send(text))
	rows, read, failed := 0, 0, false
	for {
		m, err := c.Read()
		if err != nil {
			l.Break("client %d: its connection ended within the answer, after %d of %d rows (%v)", client,
				rows, wanted, err)
			return
		}
		for read += len(m.Body); time.Since(begun).Seconds() < float64(read)/bytesASecond; {
			time.Sleep(2 * time.Millisecond)
		}
		switch m.Type {
		case 'D':
			rows++
		case 'E':
			failed = true
			l.Note("client %d: error %q after %d rows", client, m.Body, rows)
		case 'Z':
			l.Note("client %d: answer whole, %d rows, failed: %v", client, rows, failed)
			if rows != wanted && !failed {
				l.Break("client %d: served %d of %d rows", client, rows, wanted)
			}
			return
		}
	}
}
