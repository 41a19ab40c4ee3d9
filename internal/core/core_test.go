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

// noClients ignores client connections.
type noClients struct{}

func (noClients) Opened(*loop.Conn) {}
func (noClients) Data([]byte)       {}
func (noClients) Closed(error)      {}

// noDiscovery never requests a list.
type noDiscovery struct{}

func (noDiscovery) Watch() {}
func (noDiscovery) Fetch() {}

// answerLog receives the kinds of the final answers to a client's requests.
type answerLog chan string

func (a answerLog) Served(b []byte) { a <- "served" }
func (a answerLog) Refused(float64) { a <- "refused" }
func (a answerLog) Connected() bool { return true }
func (a answerLog) Failed()         { a <- "failed" }
func (a answerLog) AppendQuery(dst []byte, _ int) []byte {
	return pgwire.AppendQuery(dst, "query")
}

// testCore runs a core with one server, the primary of its group, on its own loop with a manual clock.
type testCore struct {
	t      *testing.T
	clk    *clock.Manual
	loop   *loop.Loop
	core   *Core
	pool   *backend.Pool
	server net.Listener
}

// newTestCore starts a test core, after change has modified its configuration.
func newTestCore(t *testing.T, change func(*config.Config)) *testCore {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	log := slog.New(slog.DiscardHandler)
	tc := &testCore{t: t, clk: &clock.Manual{Ms: 1e6}, server: server}
	cfg := &config.Config{Classes: []string{"read", "write"},
		LastKnownList: discovery.List{Generation: 4, Complete: true, Instances: []discovery.Instance{
			{ID: "s-1", HostPort: server.Addr().String(), Lifecycle: "up", Weight: 1, Role: "primary"}}},
		Settings: beechgrade.Settings{RouterCount: 1, Tick: 2 * time.Millisecond, ListShowsRole: true, ListRoleUpdates: true,
			MaxAttempts: 8, Classes: []beechgrade.Class{
				{LatencyTarget: time.Second, Deadline: 2 * time.Second, Value: 1, Read: beechgrade.ReadAny},
				{LatencyTarget: time.Second, Deadline: 2 * time.Second, Value: 1, Read: beechgrade.Write,
					Effect: beechgrade.Unsafe}}}}
	if change != nil {
		change(cfg)
	}
	ready, ended := make(chan struct{}), make(chan error, 1)
	tc.loop = loop.New(tc.clk, log, func() loop.Handler { return noClients{} }, func() { tc.core.Start(tc.pool, noDiscovery{}) })
	tc.core = New(tc.loop, log, cfg)
	tc.pool = backend.New(tc.loop, log, backend.Options{Roles: [2]string{"primary", "replica"}, ConnectTimeoutMs: 20000, IdleTimeoutMs: 20000,
		MaxConns: func() int { return 9 }, MemoryBytes: func() int { return 1 << 28 }}, tc.core)
	tc.loop.OnReady = func() { close(ready) }
	go func() { ended <- tc.loop.Run("127.0.0.1:0") }()
	<-ready
	t.Cleanup(func() {
		tc.loop.Shutdown()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return tc
}

// runOnLoop runs f on the loop and waits until it has returned.
func (tc *testCore) runOnLoop(f func()) {
	done := make(chan struct{})
	tc.loop.Post(func() { f(); close(done) })
	<-done
}

// accept accepts the server's next connection and reads the startup message.
func (tc *testCore) accept() net.Conn {
	tc.t.Helper()
	_ = tc.server.(*net.TCPListener).SetDeadline(time.Now().Add(20 * time.Second))
	c, err := tc.server.Accept()
	if err != nil {
		tc.t.Fatal(err)
	}
	tc.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.ReadFull(c, make([]byte, len(pgwire.AppendStartup(nil, "", "")))); err != nil {
		tc.t.Fatal(err)
	}
	return c
}

// TestNothingIsSentForEndedRequests has one client disconnect and another request reach its deadline while both wait for a
// connection to a server. Nothing may be sent once the connections are open, even if the settings do not allow attempts in
// flight to be cancelled, and the requests' slots and IDs must be free at once.
func TestNothingIsSentForEndedRequests(t *testing.T) {
	for _, mayCancel := range []bool{true, false} {
		tc := newTestCore(t, func(c *config.Config) { c.Settings.MayCancel = mayCancel })
		answers := make(answerLog, 9)
		tc.runOnLoop(func() {
			now := tc.clk.Ms
			ref, err := tc.core.Submit(front.Request{ID: "1", Class: "write", Deadline: now + 2000, Query: answers}, answers)
			if err != nil {
				t.Error(err)
			}
			if _, err := tc.core.Submit(front.Request{ID: "2", Class: "read", Deadline: now + 500, Query: answers},
				answers); err != nil {
				t.Error(err)
			}
			tc.core.Abandon(ref, "peer")
		})
		conns := []net.Conn{tc.accept(), tc.accept()}
		tc.runOnLoop(func() { tc.clk.Ms += 500 })
		select {
		case got := <-answers:
			if got != "refused" {
				t.Errorf("MayCancel %v: the second request was %s, want refused", mayCancel, got)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("the second request has no answer")
		}
		tc.runOnLoop(func() {
			if n := tc.core.OpenRequests(); n != 0 || len(tc.core.openIDs) != 0 {
				t.Errorf("MayCancel %v: %d requests and %d ids are left, want none", mayCancel, n, len(tc.core.openIDs))
			}
		})
		for _, conn := range conns {
			if _, err := conn.Write(pgwire.AppendStartupReply(nil)); err != nil {
				t.Fatal(err)
			}
		}
		end := time.Now().Add(20 * time.Second)
		for open := 2; open > 0 && time.Now().Before(end); { // Drain closes the idle connections that are open by now
			tc.runOnLoop(func() {
				tc.pool.Drain("s-1")
				open = tc.pool.ConnCount()
			})
		}
		for _, conn := range conns {
			if n, err := io.Copy(io.Discard, conn); n > 0 || err != nil {
				t.Errorf("MayCancel %v: %d bytes were sent, then error %v; want none", mayCancel, n, err)
			}
		}
	}
}

// TestWaitingReadIsNotSentToFormerPrimary guards against a stale answer to a fresh read. The read waits for a connection to the
// primary while the answer to an earlier one tells that this server is a replica by now. It must not be sent to it, neither on
// the connection of that answer nor on one that comes up later.
func TestWaitingReadIsNotSentToFormerPrimary(t *testing.T) {
	for name, closesAfterAnswer := range map[string]bool{"server keeps the connection": false, "server closes it": true} {
		t.Run(name, func(t *testing.T) {
			tc := newTestCore(t, func(c *config.Config) { c.Settings.Classes[0].Read = beechgrade.ReadFresh })
			answers := make(answerLog, 9)
			tc.runOnLoop(func() {
				for _, id := range []string{"1", "2"} {
					if _, err := tc.core.Submit(front.Request{ID: id, Class: "read", Deadline: tc.clk.Ms + 2000, Query: answers},
						answers); err != nil {
						t.Error(err)
					}
				}
			})
			first, second := tc.accept(), tc.accept()
			tc.send(first, pgwire.AppendStartupReply(nil))
			if n, err := first.Read(make([]byte, 999)); n == 0 {
				t.Fatalf("the first read was not sent: %v", err)
			}
			answer := pgwire.AppendParameter(pgwire.AppendRow(nil, "content", []byte("value")), "role", "replica")
			tc.send(first, pgwire.AppendReady(pgwire.AppendComplete(answer, "SELECT 1")))
			if closesAfterAnswer {
				_ = first.Close()
			}
			if got := <-answers; got != "served" {
				t.Fatalf("the first read was %s, want served", got)
			}
			tc.send(second, pgwire.AppendStartupReply(nil))
			tc.closeAllConns()
			for _, conn := range []net.Conn{first, second} {
				if n, _ := io.Copy(io.Discard, conn); n > 0 {
					t.Errorf("%d bytes were sent to a server that has told that it is a replica, want none", n)
				}
			}
		})
	}
}

// send writes data to a connection of the server.
func (tc *testCore) send(conn net.Conn, data []byte) {
	tc.t.Helper()
	if _, err := conn.Write(data); err != nil {
		tc.t.Fatal(err)
	}
}

// closeAllConns waits until no connection to the server is in use, and closes them.
func (tc *testCore) closeAllConns() {
	for end, open := time.Now().Add(5*time.Second), 1; open > 0 && time.Now().Before(end); {
		tc.runOnLoop(func() {
			tc.pool.Drain("s-1")
			open = tc.pool.ConnCount()
		})
	}
}
