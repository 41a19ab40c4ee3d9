package emulator

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"beechgrade/internal/pgwire"
)

// Server is an emulated db server: a primary or a replica of one group, with a queue of no length and no data. It answers each
// statement with a value made for it.
type Server struct {
	id     string
	role   string
	ledger *Ledger

	mu      sync.Mutex
	addr    string
	l       net.Listener
	conns   map[net.Conn]*served
	hungTo  time.Time // until then nothing is answered
	slow    float64   // times that work takes longer, 0 for not so
	retired time.Time // its drain counts as told to everybody since then, zero for not so
}

// served is a connection with the attempt that it carries.
type served struct {
	mu      sync.Mutex
	attempt *Attempt
}

// StartServer starts a server on an address of its own.
func StartServer(id, role string, ledger *Ledger) (*Server, error) {
	s := &Server{id: id, role: role, ledger: ledger, conns: map[net.Conn]*served{}}
	return s, s.listen("127.0.0.1:0")
}

func (s *Server) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("server %s: %w", s.id, err)
	}
	s.mu.Lock()
	s.l, s.addr = l, l.Addr().String()
	s.mu.Unlock()
	go s.accept(l)
	return nil
}

// Addr is where it listens.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

func (s *Server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		v := &served{}
		s.mu.Lock()
		s.conns[c] = v
		s.mu.Unlock()
		go s.session(c, v)
	}
}

// session serves one connection until it ends.
func (s *Server) session(c net.Conn, v *served) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		v.mu.Lock()
		s.ledger.Depart(v.attempt)
		v.mu.Unlock()
	}()
	var size [4]byte
	if _, err := io.ReadFull(c, size[:]); err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, c, int64(binary.BigEndian.Uint32(size[:]))-4); err != nil {
		return
	}
	if _, err := c.Write(pgwire.AppendStartupReply(nil)); err != nil {
		return
	}
	in, buf := pgwire.NewReader(1<<18), make([]byte, 1<<14)
	for {
		m, ok, err := in.Next()
		if err != nil {
			return
		}
		if !ok {
			n, err := c.Read(buf)
			if err != nil {
				return
			}
			in.Feed(buf[:n])
			continue
		}
		sql, err := pgwire.ParseText(m.Body)
		if m.Type != 'Q' || err != nil {
			return
		}
		s.ask(c, v, sql)
	}
}

// ask takes one statement. Its answer goes out later; the session goes on reading, to see when it is given up.
func (s *Server) ask(c net.Conn, v *served, sql string) {
	if sql == "SHOW load" || sql == "SELECT 1" {
		s.later(0, func() { _, _ = c.Write(s.report()) })
		return
	}
	st, err := pgwire.ParseStatement(sql)
	if err != nil {
		s.ledger.Violate(RuleWrong, "%s is asked %.80q: %v", s.id, sql, err)
		return
	}
	away := st.IsWrite && s.role != rolePrimary
	a := s.ledger.Arrive(st.ID, s.id, time.Duration(st.TimeoutMs)*time.Millisecond, away)
	if a == nil {
		return
	}
	s.judgeDrain(a)
	v.mu.Lock()
	v.attempt = a
	v.mu.Unlock()
	work := time.Duration(rand.ExpFloat64() * float64(a.request.Class.Work))
	if away {
		work = 0
	}
	s.later(work, func() {
		s.ledger.Depart(a) // before the answer, which may have the next attempt sent at once
		_, _ = c.Write(s.answer(st.ID, away))
	})
}

// judgeDrain checks that the server is not known to drain.
func (s *Server) judgeDrain(a *Attempt) {
	s.mu.Lock()
	retired := s.retired
	s.mu.Unlock()
	if retired.IsZero() || !a.at.After(retired.Add(drainGrace+noise)) {
		return
	}
	if s.ledger.Hindered(a.request.Pooler, retired.Add(-tellAfter), a.at) {
		return // what it was told it may not have been able to read
	}
	s.ledger.Violate(RuleDrain, "%s of %s at %s: to %s, %v after its drain counts as told", a.request.ID, a.request.Class.Name,
		a.request.Pooler, s.id, a.at.Sub(retired))
}

// later runs f after so much work, and not while the server hangs.
func (s *Server) later(work time.Duration, f func()) {
	s.mu.Lock()
	if s.slow > 0 {
		work = time.Duration(float64(work) * s.slow)
	}
	if hang := time.Until(s.hungTo); hang > work {
		work = hang
	}
	s.mu.Unlock()
	time.AfterFunc(work, func() {
		s.mu.Lock()
		hung := time.Now().Before(s.hungTo)
		s.mu.Unlock()
		if hung {
			s.later(0, f)
			return
		}
		f()
	})
}

// value is what a request is served with.
func value(id string) []byte { return []byte("made for " + id) }

const rolePrimary, roleReplica = "primary", "replica"

// SQLSTATE codes that servers answer with.
const codeNotPrimary = "25006"

func (s *Server) answer(id string, away bool) []byte {
	now := time.Now().UnixMilli()
	var b []byte
	if away {
		b = pgwire.AppendError(nil, "ERROR", codeNotPrimary, "this is no primary", "")
	} else {
		b = pgwire.AppendComplete(pgwire.AppendRow(nil, "content", value(id)), "SELECT 1")
	}
	b = pgwire.AppendParameter(b, "role", s.role)
	b = pgwire.AppendParameter(b, "applied_ms", fmt.Sprint(now))
	return pgwire.AppendReady(b)
}

// report is the answer to a probe.
func (s *Server) report() []byte {
	now, primary := time.Now().UnixMilli(), 0
	if s.role == rolePrimary {
		primary = 1
	}
	text := fmt.Appendf(nil, "x0=%d.%03d,x1=%d", now/1000, now%1000, primary)
	return pgwire.AppendReady(pgwire.AppendComplete(pgwire.AppendRow(nil, "content", text), "SHOW"))
}

// Hang has nothing answered for so long; what comes meanwhile is taken.
func (s *Server) Hang(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hungTo = time.Now().Add(d)
}

// Slow has work take so many times as long, for so long.
func (s *Server) Slow(factor float64, d time.Duration) {
	s.mu.Lock()
	s.slow = factor
	s.mu.Unlock()
	time.AfterFunc(d, func() {
		s.mu.Lock()
		s.slow = 0
		s.mu.Unlock()
	})
}

// Reset resets the connections of which a given part, or all idle ones where idle is set.
func (s *Server) Reset(part float64, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, v := range s.conns {
		v.mu.Lock()
		busy := s.ledger.Out(v.attempt)
		v.mu.Unlock()
		if idle && busy || rand.Float64() >= part {
			continue
		}
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Crash resets all connections and refuses new ones for so long.
func (s *Server) Crash(d time.Duration) {
	s.mu.Lock()
	l, addr := s.l, s.addr
	s.mu.Unlock()
	_ = l.Close()
	s.Reset(1, false)
	time.AfterFunc(d, func() { s.revive(addr) })
}

// revive listens at the old address again, as soon as it is free.
func (s *Server) revive(addr string) {
	for range 100 {
		if s.listen(addr) == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Retire notes that its drain counts as told to everybody from a time on.
func (s *Server) Retire(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retired = at
}

// Stop ends the server.
func (s *Server) Stop() {
	s.mu.Lock()
	l := s.l
	s.mu.Unlock()
	_ = l.Close()
	s.Reset(1, false)
}

// Retired tells whether it was told to drain.
func (s *Server) Retired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.retired.IsZero()
}
