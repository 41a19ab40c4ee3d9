package front

import (
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"beechgrade/internal/clock"
	"beechgrade/internal/invariant"
	"beechgrade/internal/loop"
	"beechgrade/internal/metrics"
	"beechgrade/internal/pgwire"
	"beechgrade/internal/slots"
)

// patience bounds every wait of a test.
const patience = 20 * time.Second

// shop is a front on a loop of its own, whose desk keeps what it is asked.
type shop struct {
	t     *testing.T
	loop  *loop.Loop
	front *Postgres
	asked chan Client
	ask   func() // runs within each Submit
}

func newShop(t *testing.T, memory int) *shop {
	s := &shop{t: t, asked: make(chan Client, 99), ask: func() {}}
	log := slog.New(slog.DiscardHandler)
	s.loop = loop.New(clock.System(), log, func() loop.Handler { return s.front.NewHandler() }, func() {})
	s.front = NewPostgres(s.loop, log, desk{
		ask: func(_ Request, c Client) (slots.Ref, error) {
			s.ask()
			s.asked <- c
			return slots.Ref{Index: 1, Generation: 1}, nil
		},
		gone: func(slots.Ref) {},
	}, invariant.New(log, s.loop.Metrics()), Budget{SpareDescriptors: func() int { return 9 }, ActiveClientLimit: func() int { return 9 },
		CloseIdleServerConn: func() bool { return false }, MemoryBytes: func() int { return memory }})
	ready, ended := make(chan struct{}), make(chan error, 1)
	s.loop.OnReady = func() { close(ready) }
	go func() { ended <- s.loop.Run("127.0.0.1:0") }()
	<-ready
	t.Cleanup(func() {
		s.loop.Shutdown()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return s
}

// client connects, starts up and reads the welcome.
func (s *shop) client() net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.loop.Addr())
	if err != nil {
		s.t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(patience))
	s.t.Cleanup(func() { _ = c.Close() })
	s.write(c, pgwire.AppendStartup(nil, "backend", "store"))
	s.read(c, len(pgwire.AppendStartupReply(nil)))
	return c
}

func (s *shop) write(c net.Conn, b []byte) {
	s.t.Helper()
	if _, err := c.Write(b); err != nil {
		s.t.Fatal(err)
	}
}

// read reads so many bytes.
func (s *shop) read(c net.Conn, n int) []byte {
	s.t.Helper()
	b := make([]byte, n)
	for got := 0; got < n; {
		m, err := c.Read(b[got:])
		if got += m; err != nil {
			s.t.Fatal(err)
		}
	}
	return b
}

// do runs f on the loop and waits for it.
func (s *shop) do(f func()) {
	done := make(chan struct{})
	s.loop.Post(func() { f(); close(done) })
	<-done
}

func (s *shop) next() Client {
	s.t.Helper()
	select {
	case c := <-s.asked:
		return c
	case <-time.After(patience):
		s.t.Fatal("nothing was asked")
		return nil
	}
}

// request is a query with a name of its own and a text of about so many bytes.
func request(id string, size int) []byte {
	return pgwire.AppendQuery(nil, "SELECT content FROM kv WHERE name = '"+strings.Repeat("k", size)+"' /* id="+id+",c=read,d=9000,cluster=0 */")
}

// TestRoomIsNotMadeByTheOneThatAsks: while a request is being decided on, descriptors run out, and room is made. Its own client was idle
// before and is not filed anew yet; it is not closed, and neither is one whose bytes wait unread.
func TestRoomIsNotMadeByTheOneThatAsks(t *testing.T) {
	s := newShop(t, 1<<20)
	asks, unread := s.client(), s.client()
	made := make(chan bool, 1)
	once := func() {
		s.ask = func() {}
		s.write(unread, request("2", 1)) // it lies there while the loop is in this call
		s.front.sessions.Each(func(_ slots.Ref, other *session) {
			for end := time.Now().Add(patience); other.rank() != busy && other.conn.NoPendingInput() && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
		})
		made <- s.front.FreeDescriptor()
	}
	s.do(func() { s.ask = once })
	s.write(asks, request("1", 1))
	if <-made {
		t.Error("a client that asks was closed to make room")
	}
	for range 2 {
		s.next()
	}
	if got := s.loop.Metrics().Sum(metrics.Closed); got != 0 {
		t.Errorf("%d connections were closed", got)
	}
}

// TestMemoryIsKeptByRefusing: requests that wait hold half of what clients may; the next one is refused, and no client is cut off.
func TestMemoryIsKeptByRefusing(t *testing.T) {
	const memory = 1 << 20 // clients may hold 128 KiB, waiting requests half of that
	s := newShop(t, memory)
	first, second := s.client(), s.client()
	s.write(first, request("1", 60<<10))
	waiting := s.next()
	s.write(second, request("2", 60<<10))
	if typ := s.read(second, 1)[0]; typ != 'E' {
		t.Fatalf("the second is told %q", typ)
	}
	s.do(waiting.Failed)
	if typ := s.read(first, 1)[0]; typ != 'E' {
		t.Fatalf("the first is told %q", typ)
	}
	if got := s.loop.Metrics().Sum(metrics.Closed); got != 0 || len(s.asked) > 0 {
		t.Errorf("%d connections were closed, %d more requests taken", got, len(s.asked))
	}
}

// TestHalfAMessageRefusesNobody: what a client has sent of a message that is not whole may be as much, and others are served.
func TestHalfAMessageRefusesNobody(t *testing.T) {
	s := newShop(t, 1<<20)
	half, usual := s.client(), s.client()
	s.write(half, request("half", 80<<10)[:70<<10])
	for came := false; !came; { // until it is there
		s.do(func() { came = s.front.held >= 70<<10 })
	}
	s.write(usual, request("1", 20<<10))
	s.do(s.next().Failed)
	if got := s.loop.Metrics().Sum(metrics.Closed); got != 0 {
		t.Errorf("%d connections were closed", got)
	}
}
