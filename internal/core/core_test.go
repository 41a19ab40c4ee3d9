package core

import (
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"beechgrade"
	"beechgrade/internal/backend"
	"beechgrade/internal/clock"
	"beechgrade/internal/config"
	"beechgrade/internal/discovery"
	"beechgrade/internal/front"
	"beechgrade/internal/loop"
	"beechgrade/internal/pgwire"
)

type nobody struct{}

func (nobody) Opened(*loop.Conn) {}
func (nobody) Data([]byte)       {}
func (nobody) Closed(error)      {}

// noDirectory asks nobody for a list.
type noDirectory struct{}

func (noDirectory) Watch() {}
func (noDirectory) Fetch() {}

// answers are the final answers that a client was given.
type answers chan string

func (a answers) Served(b []byte) { a <- "served" }
func (a answers) Refused(float64) { a <- "refused" }
func (a answers) Connected() bool { return true }
func (a answers) Failed()         { a <- "failed" }
func (a answers) AppendQuery(dst []byte, _ int) []byte {
	return pgwire.AppendQuery(dst, "query")
}

// rig is a core before one server, the primary of its group, on a loop of its own with a clock that a test moves.
type rig struct {
	t      *testing.T
	clk    *clock.Manual
	loop   *loop.Loop
	core   *Core
	pool   *backend.Pool
	server net.Listener
}

func newRig(t *testing.T, change func(*config.Config)) *rig {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	log := slog.New(slog.DiscardHandler)
	r := &rig{t: t, clk: &clock.Manual{Ms: 1e6}, server: server}
	cfg := &config.Config{Classes: []string{"read", "write"},
		LastKnownList: discovery.List{Generation: 4, Complete: true, Instances: []discovery.Instance{
			{ID: "s-1", HostPort: server.Addr().String(), Lifecycle: "up", Weight: 1, Role: "primary"}}},
		Settings: beechgrade.Settings{RouterCount: 1, Tick: 2 * time.Millisecond, ListShowsRole: true, ListRoleUpdates: true,
			MaxAttempts: 8, Classes: []beechgrade.Class{
				{LatencyTarget: time.Second, Deadline: 2 * time.Second, Value: 1, Read: beechgrade.ReadAny},
				{LatencyTarget: time.Second, Deadline: 2 * time.Second, Value: 1, Read: beechgrade.Write, Effect: beechgrade.Unsafe}}}}
	if change != nil {
		change(cfg)
	}
	ready, ended := make(chan struct{}), make(chan error, 1)
	r.loop = loop.New(r.clk, log, func() loop.Handler { return nobody{} }, func() { r.core.Start(r.pool, noDirectory{}) })
	r.core = New(r.loop, log, cfg)
	r.pool = backend.New(r.loop, log, backend.Options{ConnectTimeoutMs: 20000, IdleTimeoutMs: 20000, MaxConns: func() int { return 9 },
		MemoryBytes: func() int { return 1 << 28 }}, r.core)
	r.loop.OnReady = func() { close(ready) }
	go func() { ended <- r.loop.Run("127.0.0.1:0") }()
	<-ready
	t.Cleanup(func() {
		r.loop.Shutdown()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return r
}

// do runs f on the loop; what is done after this comes after it.
func (r *rig) do(f func()) {
	done := make(chan struct{})
	r.loop.Post(func() { f(); close(done) })
	<-done
}

// accept takes the server's next connection and its startup message.
func (r *rig) accept() net.Conn {
	r.t.Helper()
	_ = r.server.(*net.TCPListener).SetDeadline(time.Now().Add(20 * time.Second))
	c, err := r.server.Accept()
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.ReadFull(c, make([]byte, len(pgwire.AppendStartup(nil, "", "")))); err != nil {
		r.t.Fatal(err)
	}
	return c
}

// TestGoneWhileAConnectionIsAwaited: a client goes, or its request has its final answer, while the request waits for a connection to
// a server. Nothing is sent once that is up, also where what is out may not be called off, and the slot and the id come
// back at once.
func TestGoneWhileAConnectionIsAwaited(t *testing.T) {
	for _, may := range []bool{true, false} {
		r := newRig(t, func(c *config.Config) { c.Settings.MayCancel = may })
		told := make(answers, 9)
		r.do(func() {
			now := r.clk.Ms
			ref, err := r.core.Submit(front.Request{ID: "1", Class: "write", Deadline: now + 2000, Query: told}, told)
			if err != nil {
				t.Error(err)
			}
			if _, err := r.core.Submit(front.Request{ID: "2", Class: "read", Deadline: now + 500, Query: told}, told); err != nil {
				t.Error(err)
			}
			r.core.Abandon(ref, "peer")
		})
		slow := []net.Conn{r.accept(), r.accept()}
		r.do(func() { r.clk.Ms += 500 })
		select {
		case got := <-told:
			if got != "refused" {
				t.Errorf("may call off %v: the second was %s", may, got)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("the second has no answer")
		}
		r.do(func() {
			if n := r.core.OpenRequests(); n != 0 || len(r.core.ids) != 0 {
				t.Errorf("may call off %v: %d requests and %d ids are left", may, n, len(r.core.ids))
			}
		})
		for _, far := range slow {
			if _, err := far.Write(pgwire.AppendStartupReply(nil)); err != nil {
				t.Fatal(err)
			}
		}
		end := time.Now().Add(20 * time.Second)
		for conns := 2; conns > 0 && time.Now().Before(end); { // those that have come up are closed here
			r.do(func() {
				r.pool.Drain("s-1")
				conns = r.pool.ConnCount()
			})
		}
		for _, far := range slow {
			if n, err := io.Copy(io.Discard, far); n > 0 || err != nil {
				t.Errorf("may call off %v: %d bytes were sent, then %v", may, n, err)
			}
		}
	}
}
