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

type told chan Outcome

func (c told) AttemptEnded(_ AttemptID, o Outcome)     { c <- o }
func (c told) ProbeEnded(_ string, o Outcome)          { c <- o }
func (told) BeforeSend(AttemptID, float64) (int, bool) { return 1, true }
func (told) AppendQuery(dst []byte, _ int) []byte      { return pgwire.AppendQuery(dst, "query") }

type nobody struct{}

func (nobody) Opened(*loop.Conn) {}
func (nobody) Data([]byte)       {}
func (nobody) Closed(error)      {}

// rig is a pool on a loop of its own, with a clock that stands unless a test moves it.
type rig struct {
	t      *testing.T
	clk    *clock.Manual
	loop   *loop.Loop
	pool   *Pool
	events told
}

func newRig(t *testing.T, events Events, opt Options) *rig {
	r := &rig{t: t, clk: &clock.Manual{Ms: 1e6}}
	r.loop = loop.New(r.clk, slog.New(slog.DiscardHandler), func() loop.Handler { return nobody{} }, func() {})
	r.pool = New(r.loop, slog.New(slog.DiscardHandler), opt, events)
	r.events, _ = events.(told)
	ready, ended := make(chan struct{}), make(chan error, 1)
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

// until waits for something to become true on the loop.
func (r *rig) until(f func() bool) {
	r.t.Helper()
	for end := time.Now().Add(20 * time.Second); ; {
		var is bool
		r.do(func() { is = f() })
		if is {
			return
		}
		if time.Now().After(end) {
			r.t.Fatal("it never comes to that")
		}
	}
}

func (r *rig) next() Outcome {
	r.t.Helper()
	select {
	case o := <-r.events:
		return o
	case <-time.After(20 * time.Second):
		r.t.Fatal("no end was told")
		return Outcome{}
	}
}

func options() Options {
	return Options{ConnectTimeoutMs: 20000, IdleTimeoutMs: 20000, MaxConns: func() int { return 9 }, MemoryBytes: func() int { return 1 << 28 }}
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// accept takes the next connection to a server and its startup message.
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

func say(t *testing.T, c net.Conn, b []byte) {
	t.Helper()
	if _, err := c.Write(b); err != nil {
		t.Fatal(err)
	}
}

// looker looks, when an attempt ends, whether its connection still stands.
type looker struct {
	told
	open func() bool
}

func (l looker) AttemptEnded(_ AttemptID, o Outcome) {
	if l.open() {
		o.Result = 99
	}
	l.told <- o
}

// TestGivenUpBeforeItIsTold: when an attempt's end is told, its request may be sent elsewhere in that very call, so by then its
// connection is closed: else two would be out.
func TestGivenUpBeforeItIsTold(t *testing.T) {
	events, server := make(told, 9), listen(t)
	var r *rig
	r = newRig(t, looker{events, func() bool { return r.pool.ConnCount() > 0 }}, options())
	for name, giveUp := range map[string]func(ref slots.Ref, far net.Conn){
		"called off": func(ref slots.Ref, _ net.Conn) { r.do(func() { r.pool.CancelAttempt(ref) }) },
		"timed out":  func(slots.Ref, net.Conn) { r.do(func() { r.clk.Ms += 9000 }) },
		"spoilt":     func(_ slots.Ref, far net.Conn) { say(t, far, []byte("noise")) },
		"stalled": func(_ slots.Ref, far net.Conn) {
			say(t, far, []byte("T"))
			r.until(func() bool { return r.pool.held > 0 })
			r.do(func() { r.clk.Ms += stallMs })
		},
	} {
		var ref slots.Ref
		r.do(func() {
			r.pool.SetAddress("s", server.Addr().String())
			ref = r.pool.StartAttempt("s", events, r.clk.Ms+9000, math.Inf(1), false, AttemptID{})
		})
		far := accept(t, server)
		say(t, far, pgwire.AppendStartupReply(nil))
		if _, err := far.Read(make([]byte, 99)); err != nil { // the query
			t.Fatal(err)
		}
		giveUp(ref, far)
		r.events = events
		if o := r.next(); o.Result == 99 {
			t.Errorf("%s: told while its connection stood", name)
		}
	}
}

// large is a query that no socket takes at once.
type large struct{}

func (large) AppendQuery(dst []byte, _ int) []byte {
	return pgwire.AppendQuery(dst, strings.Repeat("x", 32<<20))
}

// TestHalfWrittenNeverArrives: where part of a query still waits here when its connection is closed, from this side or by the
// server's end of sending, its rest must not be handed over with the close: it is told as never sent, and goes out again.
func TestHalfWrittenNeverArrives(t *testing.T) {
	for name, ends := range map[string]func(p *Pool, ref slots.Ref, far net.Conn){
		"called off":       func(p *Pool, ref slots.Ref, _ net.Conn) { p.CancelAttempt(ref) },
		"the server's end": nil,
	} {
		t.Run(name, func(t *testing.T) {
			events, server := make(told, 9), listen(t)
			r := newRig(t, events, options())
			var ref slots.Ref
			r.do(func() {
				r.pool.SetAddress("s", server.Addr().String())
				ref = r.pool.StartAttempt("s", large{}, r.clk.Ms+9000, math.Inf(1), true, AttemptID{})
			})
			far := accept(t, server)
			say(t, far, pgwire.AppendStartupReply(nil))
			var out *conn
			r.until(func() bool { // it is written as far as it goes
				out = r.pool.busyConn()
				return out != nil
			})
			whole, read := len(large{}.AppendQuery(nil, 0)), 0
			r.do(func() { // the loop stands here, so that it sends no more on its own
				buf := make([]byte, 1<<20)
				for read < whole-out.c.UnsentBytes() {
					n, err := far.Read(buf)
					if read += n; err != nil {
						t.Error(err)
						return
					}
				}
				if ends != nil {
					ends(r.pool, ref, far)
				} else {
					_ = far.(*net.TCPConn).CloseWrite()
					for out.c.NoPendingInput() { // until the end is there to be read
						runtime.Gosched()
					}
					out.c.Close("test")
				}
			})
			n, _ := io.Copy(io.Discard, far)
			if r.next(); read+int(n) >= whole || n > 0 {
				t.Errorf("%d bytes of %d arrived, %d of them with the close", read+int(n), whole, n)
			}
		})
	}
}

// busyConn is a connection with a query out.
func (p *Pool) busyConn() (out *conn) {
	p.conns.Each(func(_ slots.Ref, c *conn) {
		if c.state == busy {
			out = c
		}
	})
	return out
}

// TestDrainCrossesASlowConnection: an attempt waits for its connection, and before that is up its server begins to drain.
// What is not sent by then must not be sent.
func TestDrainCrossesASlowConnection(t *testing.T) {
	events, server := make(told, 9), listen(t)
	r := newRig(t, events, options())
	r.do(func() {
		r.pool.SetAddress("s", server.Addr().String())
		for range 2 {
			r.pool.StartAttempt("s", events, r.clk.Ms+9000, math.Inf(1), true, AttemptID{})
		}
	})
	slow := []net.Conn{accept(t, server), accept(t, server)}
	r.do(func() { r.pool.Drain("s") })
	for _, far := range slow {
		if o := r.next(); o.Result != beechgrade.Skipped {
			t.Errorf("result %v", o.Result)
		}
		say(t, far, pgwire.AppendStartupReply(nil))
	}
	r.until(func() bool { return len(r.pool.servers["s"].idle) == 2 })
	r.do(func() { r.pool.Drain("s") })
	for _, far := range slow {
		if n, _ := io.Copy(io.Discard, far); n > 0 {
			t.Errorf("%d bytes were sent", n)
		}
	}
}

// TestTooLateForItsSend: an attempt may be right for a while only, by the age of its server's data or the window in which repeats are
// dropped, and nobody waits for it after its end. Its connection comes up after that, whichever of the two the loop comes to
// first: it was never sent, and another that waits takes the connection.
func TestTooLateForItsSend(t *testing.T) {
	for name, late := range map[string]func(a *attempt, now float64){
		"by its timer": nil,
		// As if the clock went on while the loop is at the connections: its deadlines come after them.
		"its send": func(a *attempt, now float64) { a.by = now },
		"its end":  func(a *attempt, now float64) { a.until = now },
	} {
		events, server := make(told, 9), listen(t)
		r := newRig(t, events, options())
		r.do(func() {
			r.pool.SetAddress("s", server.Addr().String())
			r.pool.StartAttempt("s", events, r.clk.Ms+9000, r.clk.Ms+100, true, AttemptID{})
			r.pool.StartAttempt("s", events, r.clk.Ms+9000, math.Inf(1), true, AttemptID{Number: 1})
		})
		slow := []net.Conn{accept(t, server), accept(t, server)}
		if late == nil {
			r.do(func() { r.clk.Ms += 100 })
		}
		r.do(func() {
			for _, far := range slow {
				say(t, far, pgwire.AppendStartupReply(nil))
			}
			r.pool.conns.Each(func(_ slots.Ref, c *conn) {
				for c.c.NoPendingInput() { // until it is there to be read
					runtime.Gosched()
				}
			})
			if late != nil {
				late(r.pool.servers["s"].waiting[0], r.clk.Ms)
			}
		})
		if o := r.next(); o.Result != beechgrade.Skipped {
			t.Errorf("%s: result %v", name, o.Result)
		}
		r.until(func() bool { return r.pool.busyConn() != nil })
		r.do(func() { r.pool.Drain("s") })
		got := 0
		for _, far := range slow {
			_ = far.SetReadDeadline(time.Now().Add(20 * time.Second))
			if n, _ := far.Read(make([]byte, 999)); n > 0 {
				got++
			}
		}
		if got != 1 {
			t.Errorf("%s: %d queries were sent, want 1", name, got)
		}
	}
}

// TestNeverWritten: an attempt for which there is no descriptor, or that is called off or whose server leaves the list while it
// waits for a connection, was never sent. Fails if that tells against its server, or counts as one that may have run.
func TestNeverWritten(t *testing.T) {
	clk, events := &clock.Manual{Ms: 1e6}, make(told, 9)
	var p *Pool
	l := loop.New(clk, slog.New(slog.DiscardHandler), func() loop.Handler { return nobody{} }, func() {})
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
		p.RemoveExcept(map[string]bool{"s": true}) // t has left the list
		p.Remove("s")
		if len(p.servers) != 0 {
			t.Errorf("kept of servers that left: %v", p.servers)
		}
	})
	for range 3 {
		select {
		case o := <-events:
			if diff := cmp.Diff(Outcome{Result: beechgrade.Skipped}, o, cmpopts.IgnoreFields(Outcome{}, "WaitedMs")); diff != "" {
				t.Error(diff)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("not told")
		}
	}
	l.Shutdown()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestReport guards against believing half of a report that cannot be read, or a position that no server can have.
func TestReport(t *testing.T) {
	p := &Pool{loop: loop.New(&clock.Manual{Ms: 5000}, nil, nil, nil), opt: Options{ReportFields: []string{"x0", "x1"}}}
	unreadable := Outcome{Result: beechgrade.Failed}
	for report, want := range map[string]Outcome{
		"":                       {Result: beechgrade.OK}, // it has none yet
		"x0=4.25,x1=1":           {Result: beechgrade.OK, Role: beechgrade.RolePrimary, Position: 4250, HasPosition: true},
		"x1=0, x0=5.0019,load=7": {Result: beechgrade.OK, Role: beechgrade.RoleReplica, Position: 5001, HasPosition: true},
		"x0=4.25":                unreadable,
		"x1=1":                   unreadable,
		"x0=nan,x1=1":            unreadable,
		"x0=inf,x1=1":            unreadable,
		"x0=1e300,x1=1":          unreadable,
		"x0=6,x1=1":              unreadable, // it lies ahead
		"x0=-4,x1=1":             unreadable,
		"x0=4,x1=2":              unreadable,
		"x0=4,x1=":               unreadable,
		"\xff\x00":               unreadable,
	} {
		row := append([]byte{0, 1, 0, 0, 0, byte(len(report))}, report...)
		if diff := cmp.Diff(want, p.report(row)); diff != "" {
			t.Errorf("%q: %s", report, diff)
		}
	}
}

// TestReportOfOtherFields: which fields a report has is for the settings to say. A server whose report has none that tell of
// positions or roles is there all the same; taken for unreadable, a new one would never be used.
func TestReportOfOtherFields(t *testing.T) {
	p := &Pool{loop: loop.New(&clock.Manual{Ms: 5000}, nil, nil, nil), opt: Options{ReportFields: []string{"busy_reqs", "x0"}}}
	for report, want := range map[string]Outcome{
		"busy_reqs=7,x0=4.25": {Result: beechgrade.OK, Position: 4250, HasPosition: true},
		"busy_reqs=7":         {Result: beechgrade.Failed},
	} {
		row := append([]byte{0, 1, 0, 0, 0, byte(len(report))}, report...)
		if diff := cmp.Diff(want, p.report(row)); diff != "" {
			t.Errorf("%q: %s", report, diff)
		}
	}
	p.opt.ReportFields = []string{"busy_reqs"}
	const report = "busy_reqs=7"
	if got := p.report(append([]byte{0, 1, 0, 0, 0, byte(len(report))}, report...)); got.Result != beechgrade.OK {
		t.Errorf("%q: result %v", report, got.Result)
	}
}

// TestMemoryForAnswers: answers that are coming in share a part of the memory. One that would take more is given up, or servers
// with large values would have the program killed. The clock stands still, so that none is given up for its time.
func TestMemoryForAnswers(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	events := make(told, 9)
	var p *Pool
	l := loop.New(&clock.Manual{Ms: 1e6}, slog.New(slog.DiscardHandler), func() loop.Handler { return nobody{} }, func() {})
	p = New(l, slog.New(slog.DiscardHandler), Options{ConnectTimeoutMs: 20000, IdleTimeoutMs: 20000,
		MaxConns: func() int { return 9 }, MemoryBytes: func() int { return 1 << 20 }}, events)
	ended := make(chan error, 1)
	go func() { ended <- l.Run("127.0.0.1:0") }()
	l.Post(func() {
		p.SetAddress("s", server.Addr().String())
		p.StartAttempt("s", events, l.Now()+20000, math.Inf(1), false, AttemptID{})
	})
	far, err := server.Accept()
	if err != nil {
		t.Fatal(err)
	}
	for _, say := range [][]byte{pgwire.AppendStartupReply(nil), pgwire.AppendRow(nil, "content", make([]byte, 512<<10))[:300<<10]} {
		if _, err := far.Read(make([]byte, 999)); err != nil { // the startup message, then the query
			t.Fatal(err)
		}
		if _, err := far.Write(say); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case o := <-events:
		if o.Result != beechgrade.Failed {
			t.Errorf("result %v", o.Result)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("not told")
	}
	done := make(chan int)
	l.Post(func() { done <- p.held })
	if held := <-done; held != 0 {
		t.Errorf("%d bytes still count as held", held)
	}
	l.Shutdown()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
