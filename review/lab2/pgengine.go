//go:build review

package lab2

import (
	"errors"
	"fmt"
	"net"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// PGEngine is a small engine of the PostgreSQL protocol. All its statements return rows of integers. It
// accepts settings and health checks, and leaves out whatever else the cases don't need.
type PGEngine struct {
	Columns []string // names of the columns, all of type integer
	// Execute runs a statement that came by the extended protocol, and returns its rows in binary form and
	// its command tag.
	Execute func(text string) (rows [][][]byte, tag string)

	lab *Lab
}

// Listen starts the engine and returns its address.
func (e *PGEngine) Listen(l *Lab) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	l.Check(err)
	e.lab = l
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if err := e.serve(pgproto3.NewBackend(conn, conn), conn); err != nil {
					l.Note("engine: a connection ended: %v", err)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// integerOID is the OID of the type integer.
const integerOID = 23

// serve serves one connection.
func (e *PGEngine) serve(b *pgproto3.Backend, conn net.Conn) error {
	m, err := b.ReceiveStartupMessage()
	if _, ok := m.(*pgproto3.SSLRequest); ok && err == nil {
		if _, err = conn.Write([]byte("N")); err == nil {
			m, err = b.ReceiveStartupMessage()
		}
	}
	if _, ok := m.(*pgproto3.CancelRequest); ok && err == nil {
		return nil // a statement that is cancelled runs to its end, as one that has just ended
	}
	if _, ok := m.(*pgproto3.StartupMessage); !ok || err != nil {
		return errors.Join(errors.New("no startup message"), err)
	}
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	texts, portal := map[string]string{}, ""
	for {
		if err := b.Flush(); err != nil {
			return err
		}
		m, err := b.Receive()
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *pgproto3.Parse:
			texts[m.Name] = m.Query
			b.Send(&pgproto3.ParseComplete{})
		case *pgproto3.Bind:
			portal = texts[m.PreparedStatement]
			b.Send(&pgproto3.BindComplete{})
		case *pgproto3.Describe:
			e.describe(b, m.ObjectType)
		case *pgproto3.Execute:
			rows, tag := e.Execute(portal)
			for _, row := range rows {
				b.Send(&pgproto3.DataRow{Values: row})
			}
			b.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
		case *pgproto3.Close:
			b.Send(&pgproto3.CloseComplete{})
		case *pgproto3.Sync:
			b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		case *pgproto3.Query:
			simple(b, m.String)
		case *pgproto3.Terminate:
			return nil
		case *pgproto3.Flush:
		default:
			return fmt.Errorf("unexpected %T", m)
		}
	}
}

// describe describes a statement or a portal.
func (e *PGEngine) describe(b *pgproto3.Backend, object byte) {
	if object == 'S' {
		b.Send(&pgproto3.ParameterDescription{})
	}
	m := &pgproto3.RowDescription{}
	for _, name := range e.Columns {
		m.Fields = append(m.Fields, pgproto3.FieldDescription{Name: []byte(name), DataTypeOID: integerOID,
			DataTypeSize: 4, TypeModifier: -1, Format: 1})
	}
	b.Send(m)
}

// simple answers a simple query: a health check, which is empty, or settings.
func simple(b *pgproto3.Backend, text string) {
	if strings.TrimSpace(text) == "" {
		b.Send(&pgproto3.EmptyQueryResponse{})
	} else {
		for range strings.Split(strings.TrimRight(text, "; "), ";") {
			b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
		}
	}
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
}
