package backend

import (
	"io"
	"log/slog"
	"math"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"beechgrade"
	"beechgrade/internal/clock"
	"beechgrade/internal/loop"
	"beechgrade/internal/pgwire"
	"beechgrade/internal/slots"
)

// outcomes receives the outcomes of all attempts and probes. It also serves as the Query of the attempts.
type outcomes chan Outcome

func (c outcomes) AttemptEnded(_ AttemptID, o Outcome)     { c <- o }
func (c outcomes) ProbeEnded(_ string, o Outcome)          { c <- o }
func (outcomes) BeforeSend(AttemptID, float64) (int, bool) { return 1, true }
func (outcomes) AppendQuery(dst []byte, _ int) []byte      { return pgwire.AppendQuery(dst, "query") }

type noopHandler struct{}

func (noopHandler) Opened(*loop.Conn) {}
func (noopHandler) Data([]byte)       {}
func (noopHandler) Closed(error)      {}

// testPool is a pool on its own loop, with a clock that only the test advances.
type testPool struct {
	t      *testing.T
	clk    *clock.Manual
	loop   *loop.Loop
	pool   *Pool
	events outcomes
}

func newTestPool(t *testing.T, events Events, opt Options) *testPool {
	tp := &testPool{t: t, clk: &clock.Manual{Ms: 1e6}}
	tp.loop = loop.New(tp.clk, slog.New(slog.DiscardHandler), func() loop.Handler { return noopHandler{} }, func() {})
	tp.pool = New(tp.loop, slog.New(slog.DiscardHandler), opt, events)
	tp.events, _ = events.(outcomes)
	ready, ended := make(chan struct{}), make(chan error, 1)
	tp.loop.OnReady = func() { close(ready) }
	go func() { ended <- tp.loop.Run("127.0.0.1:0") }()
	<-ready
	t.Cleanup(func() {
		tp.loop.Shutdown()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return tp
}

// runOnLoop runs f on the loop and waits until it has returned.
func (tp *testPool) runOnLoop(f func()) {
	done := make(chan struct{})
	tp.loop.Post(func() { f(); close(done) })
	<-done
}

// waitUntil calls f on the loop until it returns true.
func (tp *testPool) waitUntil(f func() bool) {
	tp.t.Helper()
	for end := time.Now().Add(20 * time.Second); ; {
		var ok bool
		tp.runOnLoop(func() { ok = f() })
		if ok {
			return
		}
		if time.Now().After(end) {
			tp.t.Fatal("the condition did not become true within 20 s")
		}
	}
}

func (tp *testPool) nextOutcome() Outcome {
	tp.t.Helper()
	select {
	case o := <-tp.events:
		return o
	case <-time.After(20 * time.Second):
		tp.t.Fatal("no outcome was reported within 20 s")
		return Outcome{}
	}
}

func options() Options {
	return Options{ConnectTimeoutMs: 20000, IdleTimeoutMs: 20000, MaxConns: func() int { return 9 },
		MemoryBytes: func() int { return 1 << 28 }}
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// accept accepts the next connection to a server and reads its startup message.
func accept(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	_ = l.(*net.TCPListener).SetDeadline(time.Now().Add(20 * time.Second))
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.ReadFull(c, make([]byte, len(pgwire.AppendStartup(nil, "", "")))); err != nil {
		t.Fatal(err)
	}
	return c
}

func write(t *testing.T, c net.Conn, b []byte) {
	t.Helper()
	if _, err := c.Write(b); err != nil {
		t.Fatal(err)
	}
}

// connChecker reports the result 99 for an attempt whose connection is still open when its outcome is reported.
type connChecker struct {
	outcomes
	open func() bool
}

func (c connChecker) AttemptEnded(_ AttemptID, o Outcome) {
	if c.open() {
		o.Result = 99
	}
	c.outcomes <- o
}

// TestConnClosedBeforeOutcome: the call that reports an outcome may send the request to another server at once. If the
// connection of the aborted attempt were still open by then, two attempts would be in flight.
func TestConnClosedBeforeOutcome(t *testing.T) {
	events, server := make(outcomes, 9), listen(t)
	var tp *testPool
	tp = newTestPool(t, connChecker{events, func() bool { return tp.pool.ConnCount() > 0 }}, options())
	for name, abort := range map[string]func(ref slots.Ref, serverConn net.Conn){
		"cancelled": func(ref slots.Ref, _ net.Conn) { tp.runOnLoop(func() { tp.pool.CancelAttempt(ref) }) },
		"timed out": func(slots.Ref, net.Conn) { tp.runOnLoop(func() { tp.clk.Ms += 9000 }) },
		"spoilt":    func(_ slots.Ref, serverConn net.Conn) { write(t, serverConn, []byte("noise")) },
		"stalled": func(_ slots.Ref, serverConn net.Conn) {
			write(t, serverConn, []byte("T"))
			tp.waitUntil(func() bool { return tp.pool.answerBytes > 0 })
			tp.runOnLoop(func() { tp.clk.Ms += stallTimeoutMs })
		},
	} {
		var ref slots.Ref
		tp.runOnLoop(func() {
			tp.pool.SetAddress("s", server.Addr().String())
			ref = tp.pool.StartAttempt("s", events, tp.clk.Ms+9000, math.Inf(1), false, AttemptID{})
		})
		serverConn := accept(t, server)
		write(t, serverConn, pgwire.AppendStartupReply(nil))
		if _, err := serverConn.Read(make([]byte, 99)); err != nil { // the query
			t.Fatal(err)
		}
		abort(ref, serverConn)
		tp.events = events
		if o := tp.nextOutcome(); o.Result == 99 {
			t.Errorf("%s: the outcome was reported while the connection was open", name)
		}
	}
}

// TestIncompleteAnswerTellsRole guards against reads that are sent to a former primary: its answer tells that it is a replica
// before it is complete, and the attempt may end before the rest arrives. What an answer with a protocol error tells does not
// count.
func TestIncompleteAnswerTellsRole(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(tp *testPool, ref slots.Ref, serverConn net.Conn)
		want beechgrade.Role
	}{
		"cancelled": {func(tp *testPool, ref slots.Ref, _ net.Conn) { tp.pool.CancelAttempt(ref) }, beechgrade.RoleReplica},
		"timed out": {func(tp *testPool, _ slots.Ref, _ net.Conn) { tp.clk.Ms += 9000 }, beechgrade.RoleReplica},
		"stalled":   {func(tp *testPool, _ slots.Ref, _ net.Conn) { tp.clk.Ms += stallTimeoutMs }, beechgrade.RoleReplica},
		"closed":    {func(_ *testPool, _ slots.Ref, serverConn net.Conn) { _ = serverConn.Close() }, beechgrade.RoleReplica},
		"protocol error": {func(_ *testPool, _ slots.Ref, serverConn net.Conn) { _, _ = serverConn.Write([]byte("noise")) },
			beechgrade.RoleUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			server, opt := listen(t), options()
			opt.Roles = [2]string{"primary", "replica"}
			tp := newTestPool(t, make(outcomes, 9), opt)
			var ref slots.Ref
			tp.runOnLoop(func() {
				tp.pool.SetAddress("s", server.Addr().String())
				ref = tp.pool.StartAttempt("s", tp.events, tp.clk.Ms+9000, math.Inf(1), false, AttemptID{})
			})
			serverConn := accept(t, server)
			write(t, serverConn, pgwire.AppendStartupReply(nil))
			if _, err := serverConn.Read(make([]byte, 99)); err != nil { // the query
				t.Fatal(err)
			}
			write(t, serverConn, pgwire.AppendParameter(nil, "role", "replica"))
			tp.waitUntil(func() bool { return tp.pool.busyConn().outcome.Role == beechgrade.RoleReplica })
			tp.runOnLoop(func() { c.end(tp, ref, serverConn) })
			if o := tp.nextOutcome(); o.Role != c.want {
				t.Errorf("result %v, role %v, want %v", o.Result, o.Role, c.want)
			}
		})
	}
}

// largeQuery is a query that is larger than any socket buffer.
type largeQuery struct{}

func (largeQuery) AppendQuery(dst []byte, _ int) []byte {
	return pgwire.AppendQuery(dst, strings.Repeat("x", 32<<20))
}

// TestUnsentRestIsDiscarded: a connection is closed, by this side or after the server's end of stream, while part of a query
// is still buffered. The rest must not be sent with the close, because the attempt is reported as not sent and the request
// is sent again.
func TestUnsentRestIsDiscarded(t *testing.T) {
	for name, closeConn := range map[string]func(p *Pool, ref slots.Ref, serverConn net.Conn){
		"cancelled":                     func(p *Pool, ref slots.Ref, _ net.Conn) { p.CancelAttempt(ref) },
		"end of stream from the server": nil,
	} {
		t.Run(name, func(t *testing.T) {
			events, server := make(outcomes, 9), listen(t)
			tp := newTestPool(t, events, options())
			var ref slots.Ref
			tp.runOnLoop(func() {
				tp.pool.SetAddress("s", server.Addr().String())
				ref = tp.pool.StartAttempt("s", largeQuery{}, tp.clk.Ms+9000, math.Inf(1), true, AttemptID{})
			})
			serverConn := accept(t, server)
			write(t, serverConn, pgwire.AppendStartupReply(nil))
			var sending *conn
			tp.waitUntil(func() bool { // the socket buffer is full
				sending = tp.pool.busyConn()
				return sending != nil
			})
			querySize, received := len(largeQuery{}.AppendQuery(nil, 0)), 0
			tp.runOnLoop(func() { // this blocks the loop, so that it does not send more by itself
				buf := make([]byte, 1<<20)
				for received < querySize-sending.loopConn.UnsentBytes() {
					n, err := serverConn.Read(buf)
					if received += n; err != nil {
						t.Error(err)
						return
					}
				}
				if closeConn != nil {
					closeConn(tp.pool, ref, serverConn)
				} else {
					_ = serverConn.(*net.TCPConn).CloseWrite()
					for sending.loopConn.NoPendingInput() { // until the end of the stream can be read
						runtime.Gosched()
					}
					sending.loopConn.Close("test")
				}
			})
			n, _ := io.Copy(io.Discard, serverConn)
			if tp.nextOutcome(); received+int(n) >= querySize || n > 0 {
				t.Errorf("%d bytes of %d arrived, %d of them with the close; want a part, and none with the close",
					received+int(n), querySize, n)
			}
		})
	}
}

// busyConn returns a connection with a query in flight, or nil.
func (p *Pool) busyConn() (found *conn) {
	p.conns.Each(func(_ slots.Ref, c *conn) {
		if c.state == busy {
			found = c
		}
	})
	return found
}

// TestDrainDuringConnect: a server begins to drain while attempts wait for connections to it. They must not be sent when the
// connections become ready.
func TestDrainDuringConnect(t *testing.T) {
	events, server := make(outcomes, 9), listen(t)
	tp := newTestPool(t, events, options())
	tp.runOnLoop(func() {
		tp.pool.SetAddress("s", server.Addr().String())
		for range 2 {
			tp.pool.StartAttempt("s", events, tp.clk.Ms+9000, math.Inf(1), true, AttemptID{})
		}
	})
	serverConns := []net.Conn{accept(t, server), accept(t, server)}
	tp.runOnLoop(func() { tp.pool.Drain("s") })
	for _, serverConn := range serverConns {
		if o := tp.nextOutcome(); o.Result != beechgrade.Skipped {
			t.Errorf("result %v, want skipped", o.Result)
		}
		write(t, serverConn, pgwire.AppendStartupReply(nil))
	}
	tp.waitUntil(func() bool { return len(tp.pool.servers["s"].idle) == 2 })
	tp.runOnLoop(func() { tp.pool.Drain("s") })
	for _, serverConn := range serverConns {
		if n, _ := io.Copy(io.Discard, serverConn); n > 0 {
			t.Errorf("%d bytes were sent to a draining server, want none", n)
		}
	}
}

// TestNotSentAfterDeadline: an attempt may only be sent before its send deadline, which follows from the staleness bound or
// the deduplication window, and before its time-out. If its connection becomes ready later, the attempt is skipped and another one
// that waits uses the connection, whether the loop handles the timer or the connection first.
func TestNotSentAfterDeadline(t *testing.T) {
	for name, expire := range map[string]func(a *attempt, now float64){
		"timer": nil,
		// These two act as if time passed while the loop handles connections. It runs timers after them.
		"send deadline": func(a *attempt, now float64) { a.sendDeadline = now },
		"time-out":      func(a *attempt, now float64) { a.timeoutAt = now },
	} {
		events, server := make(outcomes, 9), listen(t)
		tp := newTestPool(t, events, options())
		tp.runOnLoop(func() {
			tp.pool.SetAddress("s", server.Addr().String())
			tp.pool.StartAttempt("s", events, tp.clk.Ms+9000, tp.clk.Ms+100, true, AttemptID{})
			tp.pool.StartAttempt("s", events, tp.clk.Ms+9000, math.Inf(1), true, AttemptID{Number: 1})
		})
		serverConns := []net.Conn{accept(t, server), accept(t, server)}
		if expire == nil {
			tp.runOnLoop(func() { tp.clk.Ms += 100 })
		}
		tp.runOnLoop(func() {
			for _, serverConn := range serverConns {
				write(t, serverConn, pgwire.AppendStartupReply(nil))
			}
			tp.pool.conns.Each(func(_ slots.Ref, c *conn) {
				for c.loopConn.NoPendingInput() { // until the startup reply can be read
					runtime.Gosched()
				}
			})
			if expire != nil {
				expire(tp.pool.servers["s"].waiting[0], tp.clk.Ms)
			}
		})
		if o := tp.nextOutcome(); o.Result != beechgrade.Skipped {
			t.Errorf("%s: result %v, want skipped", name, o.Result)
		}
		tp.waitUntil(func() bool { return tp.pool.busyConn() != nil })
		tp.runOnLoop(func() { tp.pool.Drain("s") })
		got := 0
		for _, serverConn := range serverConns {
			_ = serverConn.SetReadDeadline(time.Now().Add(20 * time.Second))
			if n, _ := serverConn.Read(make([]byte, 999)); n > 0 {
				got++
			}
		}
		if got != 1 {
			t.Errorf("%s: %d queries were sent, want 1", name, got)
		}
	}
}

// TestUnsentAttemptIsSkipped: an attempt was not sent if no descriptor is left for a connection, or if it is cancelled or
// its server is removed while it waits for one. Any other result than Skipped would count against the server, or as an
// attempt that may have run.
func TestUnsentAttemptIsSkipped(t *testing.T) {
	clk, events := &clock.Manual{Ms: 1e6}, make(outcomes, 9)
	var p *Pool
	l := loop.New(clk, slog.New(slog.DiscardHandler), func() loop.Handler { return noopHandler{} }, func() {})
	p = New(l, slog.New(slog.DiscardHandler), Options{ConnectTimeoutMs: 250, MaxConns: func() int { return 0 }}, events)
	ready := make(chan struct{})
	l.OnReady = func() { close(ready) }
	ended := make(chan error, 1)
	go func() { ended <- l.Run("127.0.0.1:0") }()
	<-ready
	l.Post(func() {
		p.SetAddress("s", "127.0.0.1:1")
		p.StartAttempt("s", events, clk.Ms+9000, math.Inf(1), true, AttemptID{})
		p.CancelAttempt(p.StartAttempt("s", events, clk.Ms+9000, math.Inf(1), true, AttemptID{Number: 1}))
	})
	l.Post(func() { clk.Ms += 250 })
	l.Post(func() {
		p.SetAddress("t", "127.0.0.1:1")
		p.StartAttempt("t", events, clk.Ms+9000, math.Inf(1), true, AttemptID{Number: 2})
		p.RemoveExcept(map[string]bool{"s": true}) // removes t
		p.Remove("s")
		if len(p.servers) != 0 {
			t.Errorf("servers left after their removal: %v", p.servers)
		}
	})
	for range 3 {
		select {
		case o := <-events:
			if diff := cmp.Diff(Outcome{Result: beechgrade.Skipped}, o, cmpopts.IgnoreFields(Outcome{}, "WaitedMs")); diff != "" {
				t.Error(diff)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("no outcome was reported within 20 s")
		}
	}
	l.Shutdown()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestParseReport guards against using part of a report that cannot be parsed, or a position that no server can have.
func TestParseReport(t *testing.T) {
	p := &Pool{loop: loop.New(&clock.Manual{Ms: 5000}, nil, nil, nil), opt: Options{ReportFields: []string{"x0", "x1"}}}
	unreadable := Outcome{Result: beechgrade.Failed}
	for report, want := range map[string]Outcome{
		"":                       {Result: beechgrade.OK}, // the server has no report yet
		"x0=4.25,x1=1":           {Result: beechgrade.OK, Role: beechgrade.RolePrimary, Position: 4250, HasPosition: true},
		"x1=0, x0=5.0019,load=7": {Result: beechgrade.OK, Role: beechgrade.RoleReplica, Position: 5001, HasPosition: true},
		"x0=4.25":                unreadable,
		"x1=1":                   unreadable,
		"x0=nan,x1=1":            unreadable,
		"x0=inf,x1=1":            unreadable,
		"x0=1e300,x1=1":          unreadable,
		"x0=6,x1=1":              unreadable, // ahead of the clock
		"x0=-4,x1=1":             unreadable,
		"x0=4,x1=2":              unreadable,
		"x0=4,x1=":               unreadable,
		"\xff\x00":               unreadable,
	} {
		row := append([]byte{0, 1, 0, 0, 0, byte(len(report))}, report...)
		if diff := cmp.Diff(want, p.parseReport(row)); diff != "" {
			t.Errorf("%q: %s", report, diff)
		}
	}
}

// TestParseReportOtherFields: the settings list the fields of a report. If they list neither a position nor a role, a report
// without them is a successful probe. If it failed, a new server would never be used.
func TestParseReportOtherFields(t *testing.T) {
	p := &Pool{loop: loop.New(&clock.Manual{Ms: 5000}, nil, nil, nil), opt: Options{ReportFields: []string{"busy_reqs", "x0"}}}
	for report, want := range map[string]Outcome{
		"busy_reqs=7,x0=4.25": {Result: beechgrade.OK, Position: 4250, HasPosition: true},
		"busy_reqs=7":         {Result: beechgrade.Failed},
	} {
		row := append([]byte{0, 1, 0, 0, 0, byte(len(report))}, report...)
		if diff := cmp.Diff(want, p.parseReport(row)); diff != "" {
			t.Errorf("%q: %s", report, diff)
		}
	}
	p.opt.ReportFields = []string{"busy_reqs"}
	const report = "busy_reqs=7"
	if got := p.parseReport(append([]byte{0, 1, 0, 0, 0, byte(len(report))}, report...)); got.Result != beechgrade.OK {
		t.Errorf("%q: result %v, want ok", report, got.Result)
	}
}

// TestAnswerMemoryLimit: incomplete answers share a fraction of the memory. An answer that would exceed it is aborted,
// because servers with large values could otherwise exhaust the memory of the process. The clock is stopped, so no answer is
// aborted by a time-out.
func TestAnswerMemoryLimit(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	events := make(outcomes, 9)
	var p *Pool
	l := loop.New(&clock.Manual{Ms: 1e6}, slog.New(slog.DiscardHandler), func() loop.Handler { return noopHandler{} }, func() {})
	p = New(l, slog.New(slog.DiscardHandler), Options{ConnectTimeoutMs: 20000, IdleTimeoutMs: 20000,
		MaxConns: func() int { return 9 }, MemoryBytes: func() int { return 1 << 20 }}, events)
	ended := make(chan error, 1)
	go func() { ended <- l.Run("127.0.0.1:0") }()
	l.Post(func() {
		p.SetAddress("s", server.Addr().String())
		p.StartAttempt("s", events, l.Now()+20000, math.Inf(1), false, AttemptID{})
	})
	serverConn, err := server.Accept()
	if err != nil {
		t.Fatal(err)
	}
	for _, data := range [][]byte{pgwire.AppendStartupReply(nil),
		pgwire.AppendRow(nil, "content", make([]byte, 512<<10))[:300<<10]} {
		if _, err := serverConn.Read(make([]byte, 999)); err != nil { // the startup message, then the query
			t.Fatal(err)
		}
		if _, err := serverConn.Write(data); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case o := <-events:
		if o.Result != beechgrade.Failed {
			t.Errorf("result %v, want failed", o.Result)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("no outcome was reported within 20 s")
	}
	done := make(chan int)
	l.Post(func() { done <- p.answerBytes })
	if n := <-done; n != 0 {
		t.Errorf("%d bytes still count as buffered, want 0", n)
	}
	l.Shutdown()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
