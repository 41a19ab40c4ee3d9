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

// stubHandler is a RequestHandler that calls the given functions.
type stubHandler struct {
	submit  func(Request, Client) (slots.Ref, error)
	abandon func(slots.Ref)
}

func (h stubHandler) Submit(q Request, c Client) (slots.Ref, error) { return h.submit(q, c) }
func (h stubHandler) Abandon(ref slots.Ref, _ string)               { h.abandon(ref) }

// TestClientClosedDuringSubmit guards against forwarding the request of a client that has disconnected. Submit of the second
// request answers the first one, and the connection breaks as this answer is written. At that time the session does not have the
// second request's Ref yet; the request must be abandoned nevertheless.
func TestClientClosedDuringSubmit(t *testing.T) {
	var frontEnd *Postgres
	var first Client
	secondRef, abandoned := slots.Ref{Index: 7, Generation: 3}, make(chan slots.Ref, 9)
	ready, ended := make(chan struct{}), make(chan error, 1)
	eventLoop := loop.New(clock.System(), slog.New(slog.DiscardHandler), func() loop.Handler { return frontEnd.NewHandler() },
		func() {})
	frontEnd = NewPostgres(eventLoop, slog.New(slog.DiscardHandler), stubHandler{
		submit: func(_ Request, client Client) (slots.Ref, error) {
			if first == nil {
				first = client
				return slots.Ref{Index: 1, Generation: 1}, nil
			}
			frontEnd.sessions.Each(func(_ slots.Ref, s *session) { // as if writing the answer had found the connection broken
				if s.hasRequested {
					s.conn.Close("test")
				}
			})
			first.Failed()
			return secondRef, nil
		},
		abandon: func(ref slots.Ref) { abandoned <- ref },
	}, invariant.New(slog.New(slog.DiscardHandler), eventLoop.Metrics()), Budget{SpareDescriptors: func() int { return 9 },
		ActiveClientLimit: func() int { return 9 }, CloseIdleServerConn: func() bool { return false },
		MemoryBytes: func() int { return 1 << 20 }})
	eventLoop.OnReady = func() { close(ready) }
	go func() { ended <- eventLoop.Run("127.0.0.1:0") }()
	<-ready
	conn, err := net.Dial("tcp", eventLoop.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	input := pgwire.AppendStartup(nil, "backend", "store")
	for _, id := range []string{"1", "2"} {
		input = pgwire.AppendQuery(input, "SELECT content FROM kv /* id="+id+",c=read,d=500,cluster=0 */")
	}
	if _, err := conn.Write(input); err != nil {
		t.Fatal(err)
	}
	received := map[slots.Ref]bool{}
	for timeout := time.After(20 * time.Second); !received[secondRef]; {
		select {
		case ref := <-abandoned:
			received[ref] = true
		case <-timeout:
			t.Fatalf("the second request was not abandoned; abandoned were %v", received)
		}
	}
	eventLoop.Shutdown()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
