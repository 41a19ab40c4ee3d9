package front

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"beechgrade/internal/clock"
	"beechgrade/internal/invariant"
	"beechgrade/internal/loop"
	"beechgrade/internal/pgwire"
	"beechgrade/internal/slots"
)

// desk is a RequestHandler that does what a test says.
type desk struct {
	ask  func(Request, Client) (slots.Ref, error)
	gone func(slots.Ref)
}

func (d desk) Submit(q Request, c Client) (slots.Ref, error) { return d.ask(q, c) }
func (d desk) Abandon(ref slots.Ref, _ string)               { d.gone(ref) }

// TestClosedWhileItAsks: a client's connection breaks at the answer to an earlier command, which the very request that it puts
// has brought about, so that the request has no name at its session yet. It is told as gone all the same, or it would be
// sent on for nobody.
func TestClosedWhileItAsks(t *testing.T) {
	var p *Postgres
	var first Client
	named, gone := slots.Ref{Index: 7, Generation: 3}, make(chan slots.Ref, 9)
	ready, ended := make(chan struct{}), make(chan error, 1)
	l := loop.New(clock.System(), slog.New(slog.DiscardHandler), func() loop.Handler { return p.NewHandler() }, func() {})
	p = NewPostgres(l, slog.New(slog.DiscardHandler), desk{
		ask: func(_ Request, c Client) (slots.Ref, error) {
			if first == nil {
				first = c
				return slots.Ref{Index: 1, Generation: 1}, nil
			}
			p.sessions.Each(func(_ slots.Ref, s *session) { // the write of its answer finds the connection broken
				if s.asked {
					s.conn.Close("test")
				}
			})
			first.Failed()
			return named, nil
		},
		gone: func(ref slots.Ref) { gone <- ref },
	}, invariant.New(slog.New(slog.DiscardHandler), l.Metrics()), Budget{SpareDescriptors: func() int { return 9 },
		ActiveClientLimit: func() int { return 9 }, CloseIdleServerConn: func() bool { return false },
		MemoryBytes: func() int { return 1 << 20 }})
	l.OnReady = func() { close(ready) }
	go func() { ended <- l.Run("127.0.0.1:0") }()
	<-ready
	c, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	b := pgwire.AppendStartup(nil, "backend", "store")
	for _, id := range []string{"1", "2"} {
		b = pgwire.AppendQuery(b, "SELECT content FROM kv /* id="+id+",c=read,d=500,cluster=0 */")
	}
	if _, err := c.Write(b); err != nil {
		t.Fatal(err)
	}
	told := map[slots.Ref]bool{}
	for end := time.After(20 * time.Second); !told[named]; {
		select {
		case ref := <-gone:
			told[ref] = true
		case <-end:
			t.Fatalf("the request was never told as gone, only %v", told)
		}
	}
	l.Shutdown()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
