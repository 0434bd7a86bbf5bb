//go:build review

package lab2

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"time"
)

// PGClient is a client of the PostgreSQL protocol, version 3.0, with the simple query protocol.
type PGClient struct {
	Conn   net.Conn
	Reader *bufio.Reader
}

// Message is a message of a server.
type Message struct {
	Type byte
	Body []byte
}

// DialPG connects and waits until the server is ready.
func DialPG(addr string) (*PGClient, error) { return DialPGWindow(addr, 0) }

// DialPGWindow is DialPG with a receive buffer of so many bytes, as of a client behind a slow link; 0: the
// system's own choice.
func DialPGWindow(addr string, window int) (*PGClient, error) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		if window > 0 {
			control := raw.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window)
			})
			err = errors.Join(err, control)
		}
		return err
	}}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &PGClient{Conn: conn, Reader: bufio.NewReaderSize(conn, 4<<10)}
	const version = 3 << 16
	body := append(binary.BigEndian.AppendUint32(nil, version),
		"user\x00review\x00database\x00review\x00\x00"...)
	_, err = conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4)), body...))
	if err == nil {
		_, err = c.ReadUntilReady()
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

// Send sends a Query message.
func (c *PGClient) Send(text string) error {
	b := binary.BigEndian.AppendUint32([]byte{'Q'}, uint32(len(text)+5))
	_, err := c.Conn.Write(append(append(b, text...), 0))
	return err
}

// Read reads a message.
func (c *PGClient) Read() (Message, error) {
	var head [5]byte
	if _, err := io.ReadFull(c.Reader, head[:]); err != nil {
		return Message{}, err
	}
	size := int(binary.BigEndian.Uint32(head[1:])) - 4
	if size < 0 || size > 1<<26 {
		return Message{}, fmt.Errorf("message of %d bytes", size)
	}
	body := make([]byte, size)
	_, err := io.ReadFull(c.Reader, body)
	return Message{head[0], body}, err
}

// Reply is what came until ReadyForQuery: the rows, the tags of statements and the last error.
type Reply struct {
	Rows  int
	Bytes int
	Tags  []string
	Error string // SQLSTATE and message; "": none
}

func (r Reply) String() string {
	if r.Error != "" {
		return fmt.Sprintf("%d rows, error %s", r.Rows, r.Error)
	}
	return fmt.Sprintf("%d rows, %s", r.Rows, strings.Join(r.Tags, ", "))
}

// ReadUntilReady reads messages until ReadyForQuery. An error means that the connection ended before it.
func (c *PGClient) ReadUntilReady() (r Reply, err error) {
	for {
		m, err := c.Read()
		if err != nil {
			return r, err
		}
		r.Bytes += len(m.Body) + 5
		switch m.Type {
		case 'D':
			r.Rows++
		case 'C':
			r.Tags = append(r.Tags, strings.TrimRight(string(m.Body), "\x00"))
		case 'E':
			r.Error = errorText(m.Body)
		case 'Z':
			return r, nil
		}
	}
}

// errorText returns the SQLSTATE and the message of an ErrorResponse.
func errorText(body []byte) string {
	var code, text string
	for _, field := range strings.Split(string(body), "\x00") {
		switch {
		case strings.HasPrefix(field, "C"):
			code = field[1:]
		case strings.HasPrefix(field, "M"):
			text = field[1:]
		}
	}
	return code + " " + text
}

// Query sends a query and reads its answer, which has to come within a time.
func (c *PGClient) Query(text string, within time.Duration) (Reply, error) {
	c.Conn.SetDeadline(time.Now().Add(within))
	if err := c.Send(text); err != nil {
		return Reply{}, err
	}
	return c.ReadUntilReady()
}
