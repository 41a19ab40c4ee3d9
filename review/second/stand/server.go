package stand

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Query is a statement that a db server has received whole.
type Query struct {
	SQL      string
	ID       string
	Key      string
	Write    bool
	Received time.Time
}

// Server is a db server. Its methods are safe for concurrent use.
type Server struct {
	ID     string
	Addr   string
	Record *Record
	// Answer returns the whole answer to a statement, or nil to close the connection. It may wait.
	Answer func(s *Server, q Query) []byte
	// Report returns the row of SHOW load. It is nil where probes are not allowed.
	Report func(s *Server) string

	lastConn atomic.Int64
	mu       sync.Mutex
	ran      map[string]int // statements received, by request id
}

// Start listens on a free port of the loopback address.
func (s *Server) Start() error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.Addr, s.ran = l.Addr().String(), map[string]int{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c, s.lastConn.Add(1))
		}
	}()
	return nil
}

// Ran returns how often the statement of a request has been received.
func (s *Server) Ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

func (s *Server) serve(c net.Conn, id int64) {
	defer c.Close()
	r := bufio.NewReaderSize(c, 1<<16)
	if ReadStartup(r) != nil {
		return
	}
	if _, err := c.Write(AppendWelcome(nil)); err != nil {
		return
	}
	for {
		m, err := ReadMessage(r)
		if err != nil || m.Type != 'Q' {
			return
		}
		now := time.Now()
		sql := strings.TrimRight(string(m.Body), "\x00")
		if strings.EqualFold(sql, "SHOW load") {
			if s.Report == nil {
				_, err = c.Write(AppendReady(AppendError(nil, "42501", "no")))
			} else {
				_, err = c.Write(AppendReady(AppendComplete(AppendRow(nil, []byte(s.Report(s))))))
			}
			if err != nil {
				return
			}
			continue
		}
		q := Query{SQL: sql, ID: strings.Clone(Field(sql, "id")), Key: strings.Clone(Key(sql)), Received: now,
			Write: strings.HasPrefix(sql, "INSERT")}
		s.mu.Lock()
		s.ran[q.ID]++
		s.mu.Unlock()
		s.Record.Line("server %s conn %d received id=%s d=%s bytes=%d", s.ID, id, q.ID, Field(sql, "d"), len(sql))
		answer := s.Answer(s, q)
		if answer == nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			s.Record.Line("server %s conn %d could not answer id=%s: %v", s.ID, id, q.ID, err)
			return
		}
		s.Record.Line("server %s conn %d answered id=%s", s.ID, id, q.ID)
	}
}

// UnixMs is the present time as the protocol states it.
func UnixMs() int64 { return time.Now().UnixMilli() }

// Row is a whole answer with a value, the role and the position.
func Row(value []byte, role string, positionMs int64) []byte {
	b := AppendComplete(AppendRow(nil, value))
	b = AppendStatus(b, "role", role)
	b = AppendStatus(b, "applied_ms", fmt.Sprint(positionMs))
	return AppendReady(b)
}

// Failure is a whole answer with an error, the role and the position.
func Failure(code, role string, positionMs int64) []byte {
	b := AppendError(nil, code, "not here")
	b = AppendStatus(b, "role", role)
	b = AppendStatus(b, "applied_ms", fmt.Sprint(positionMs))
	return AppendReady(b)
}
