package stand

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Server is a db server: a listener whose connections each carry one statement at a time.
type Server struct {
	ID   string
	Addr string

	// Startup, if set, is called once a startup message is whole, and before it is answered.
	Startup func(c *ServerConn)
	// Load returns the text of a load report.
	Load func() string
	// Query is called with each statement once its last byte has come, on a goroutine of its own.
	Query func(c *ServerConn, q Query)
	// Reject is called with what no client sends.
	Reject func(c *ServerConn, sql string)

	listener net.Listener
	mu       sync.Mutex
	conns    map[*ServerConn]bool
	lastConn int
}

// ServerConn is one connection to a db server.
type ServerConn struct {
	net.Conn
	Server *Server
	N      int          // the number of the connection at its server
	Open   atomic.Int32 // statements that have come and are not answered
	Seen   atomic.Int64 // statements that have come
	Ended  atomic.Bool  // the pooler has closed the connection or ended its sending
}

// Listen opens the server on a free port.
func (s *Server) Listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listener, s.Addr, s.conns = l, l.Addr().String(), map[*ServerConn]bool{}
	go s.accept()
	return nil
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.lastConn++
		sc := &ServerConn{Conn: c, Server: s, N: s.lastConn}
		s.conns[sc] = true
		s.mu.Unlock()
		go s.session(sc)
	}
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Conn.Close()
	}
}

// Conns returns the number of open connections.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) session(c *ServerConn) {
	defer func() {
		c.Ended.Store(true)
		_ = c.Conn.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReaderSize(c, 1<<16)
	if ReadStartup(r) != nil {
		return
	}
	if s.Startup != nil {
		s.Startup(c)
	}
	if _, err := c.Write(StartupReply()); err != nil {
		return
	}
	for {
		typ, body, err := ReadMessage(r)
		if err != nil || typ != 'Q' || len(body) == 0 {
			return
		}
		sql := string(body[:len(body)-1])
		if sql == "SHOW load" {
			_, _ = c.Write(append(Row([]byte(s.Load()), "SHOW"), Ready()...))
			continue
		}
		c.Seen.Add(1)
		q, ok := ParseQuery(sql)
		if !ok {
			if s.Reject != nil {
				s.Reject(c, sql)
			}
			_, _ = c.Write(append(ErrorMessage("08P01", "no client sends this"), Ready()...))
			continue
		}
		c.Open.Add(1)
		go s.Query(c, q)
	}
}

// Waits reports whether bytes have come on the connection that are not read yet.
func (c *ServerConn) Waits() bool {
	waits := false
	if t, ok := c.Conn.(*net.TCPConn); ok {
		if raw, err := t.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) {
				n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
				waits = err == nil && n > 0
			})
		}
	}
	return waits
}

// Cork holds back what is written, so that it goes out together with the end of the stream.
func (c *ServerConn) Cork() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		if raw, err := t.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_CORK, 1) })
		}
	}
}

// LoadReport returns a load report with a position and a role.
func LoadReport(position time.Time, primary bool) string {
	x1 := 0
	if primary {
		x1 = 1
	}
	ms := position.UnixMilli()
	return fmt.Sprintf("x0=%d.%03d,x1=%d", ms/1000, ms%1000, x1)
}

// Answer returns a row with the notes of its server: role and position.
func Answer(value []byte, role string, positionMs int64, write bool) []byte {
	tag := "SELECT 1"
	if write {
		tag = "INSERT 0 1"
	}
	return withNotes(Row(value, tag), role, positionMs)
}

// Miss returns an error with the notes of its server.
func Miss(code, text, role string, positionMs int64) []byte {
	return withNotes(ErrorMessage(code, text), role, positionMs)
}

func withNotes(b []byte, role string, positionMs int64) []byte {
	b = append(b, Param("role", role)...)
	b = append(b, Param("applied_ms", fmt.Sprint(positionMs))...)
	return append(b, Ready()...)
}
