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

// testTimeout is the maximum time that a test waits for anything.
const testTimeout = 20 * time.Second

// fixture is a front on its own loop, whose request handler records the submitted requests.
type fixture struct {
	t         *testing.T
	loop      *loop.Loop
	front     *Postgres
	submitted chan Client
	onSubmit  func() // called by each Submit
}

// newFixture starts a front with the given memory limit in bytes.
func newFixture(t *testing.T, memory int) *fixture {
	f := &fixture{t: t, submitted: make(chan Client, 99), onSubmit: func() {}}
	log := slog.New(slog.DiscardHandler)
	f.loop = loop.New(clock.System(), log, func() loop.Handler { return f.front.NewHandler() }, func() {})
	f.front = NewPostgres(f.loop, log, stubHandler{
		submit: func(_ Request, c Client) (slots.Ref, error) {
			f.onSubmit()
			f.submitted <- c
			return slots.Ref{Index: 1, Generation: 1}, nil
		},
		abandon: func(slots.Ref) {},
	}, invariant.New(log, f.loop.Metrics()), Budget{SpareDescriptors: func() int { return 9 },
		ActiveClientLimit: func() int { return 9 }, CloseIdleServerConn: func() bool { return false },
		MemoryBytes: func() int { return memory }})
	ready, ended := make(chan struct{}), make(chan error, 1)
	f.loop.OnReady = func() { close(ready) }
	go func() { ended <- f.loop.Run("127.0.0.1:0") }()
	<-ready
	t.Cleanup(func() {
		f.loop.Shutdown()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return f
}

// connect opens a connection, sends the startup message and reads the reply.
func (f *fixture) connect() net.Conn {
	f.t.Helper()
	c, err := net.Dial("tcp", f.loop.Addr())
	if err != nil {
		f.t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	f.t.Cleanup(func() { _ = c.Close() })
	f.write(c, pgwire.AppendStartup(nil, "backend", "store"))
	f.read(c, len(pgwire.AppendStartupReply(nil)))
	return c
}

func (f *fixture) write(c net.Conn, b []byte) {
	f.t.Helper()
	if _, err := c.Write(b); err != nil {
		f.t.Fatal(err)
	}
}

// read reads n bytes.
func (f *fixture) read(c net.Conn, n int) []byte {
	f.t.Helper()
	b := make([]byte, n)
	for got := 0; got < n; {
		m, err := c.Read(b[got:])
		if got += m; err != nil {
			f.t.Fatal(err)
		}
	}
	return b
}

// runOnLoop runs fn on the loop and waits until it has returned.
func (f *fixture) runOnLoop(fn func()) {
	done := make(chan struct{})
	f.loop.Post(func() { fn(); close(done) })
	<-done
}

// nextSubmitted returns the client of the next submitted request.
func (f *fixture) nextSubmitted() Client {
	f.t.Helper()
	select {
	case c := <-f.submitted:
		return c
	case <-time.After(testTimeout):
		f.t.Fatal("no request was submitted")
		return nil
	}
}

// request returns a query with the given request id and a text of about size bytes.
func request(id string, size int) []byte {
	return pgwire.AppendQuery(nil, "SELECT content FROM kv WHERE name = '"+strings.Repeat("k", size)+
		"' /* id="+id+",c=read,d=9000,cluster=0 */")
}

// TestFreeDescriptorSparesRequestingClients guards against closing clients that have a request. Descriptors run out while a
// request is submitted. Its client is still in the list of idle clients, and another client has input that is not read yet;
// neither may be closed.
func TestFreeDescriptorSparesRequestingClients(t *testing.T) {
	f := newFixture(t, 1<<20)
	requesting, unread := f.connect(), f.connect()
	evicted := make(chan bool, 1)
	once := func() {
		f.onSubmit = func() {}
		f.write(unread, request("2", 1)) // stays unread during this call, which runs on the loop
		f.front.sessions.Each(func(_ slots.Ref, other *session) {
			for end := time.Now().Add(testTimeout); other.currentState() != stateBusy && other.conn.NoPendingInput() &&
				time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
		})
		evicted <- f.front.FreeDescriptor()
	}
	f.runOnLoop(func() { f.onSubmit = once })
	f.write(requesting, request("1", 1))
	if <-evicted {
		t.Error("a connection was closed although every client has a request")
	}
	for range 2 {
		f.nextSubmitted()
	}
	if got := f.loop.Metrics().Sum(metrics.Closed); got != 0 {
		t.Errorf("%d connections were closed, want none", got)
	}
}

// TestRequestsOverMemoryLimitAreRefused checks that a request is refused, and no connection closed, while open requests hold half
// of the memory allowed for clients.
func TestRequestsOverMemoryLimitAreRefused(t *testing.T) {
	const memory = 1 << 20 // clients may hold 128 KiB, open requests half of that
	f := newFixture(t, memory)
	first, second := f.connect(), f.connect()
	f.write(first, request("1", 60<<10))
	firstRequest := f.nextSubmitted()
	f.write(second, request("2", 60<<10))
	if typ := f.read(second, 1)[0]; typ != 'E' {
		t.Fatalf("the second client received message type %q, want an error (E)", typ)
	}
	f.runOnLoop(firstRequest.Failed)
	if typ := f.read(first, 1)[0]; typ != 'E' {
		t.Fatalf("the first client received message type %q, want an error (E)", typ)
	}
	if got := f.loop.Metrics().Sum(metrics.Closed); got != 0 || len(f.submitted) > 0 {
		t.Errorf("%d connections were closed, %d more requests submitted, want none", got, len(f.submitted))
	}
}

// TestPartialMessageDoesNotRefuseOthers checks that an incomplete message does not count as an open request: while one holds more
// than half of the memory allowed for clients, requests of other clients are still accepted.
func TestPartialMessageDoesNotRefuseOthers(t *testing.T) {
	f := newFixture(t, 1<<20)
	partial, complete := f.connect(), f.connect()
	f.write(partial, request("half", 80<<10)[:70<<10])
	for received := false; !received; { // until the partial message is received
		f.runOnLoop(func() { received = f.front.heldBytes >= 70<<10 })
	}
	f.write(complete, request("1", 20<<10))
	f.runOnLoop(f.nextSubmitted().Failed)
	if got := f.loop.Metrics().Sum(metrics.Closed); got != 0 {
		t.Errorf("%d connections were closed, want none", got)
	}
}

// TestLargeRequestWithoutMemoryIsRefused guards against closing a client whose request is read in part when there is no memory for
// the rest: the request is refused once it is complete, and the connection stays usable.
func TestLargeRequestWithoutMemoryIsRefused(t *testing.T) {
	f := newFixture(t, 1<<20) // clients may hold 128 KiB
	partial, large := f.connect(), f.connect()
	f.write(partial, request("half", 100<<10)[:70<<10])
	for received := false; !received; {
		f.runOnLoop(func() { received = f.front.heldBytes >= 70<<10 })
	}
	input := request("large", 100<<10)
	f.write(large, input[:80<<10])
	for skipped := int64(0); skipped == 0; {
		f.runOnLoop(func() { skipped = f.loop.Metrics().Value(metrics.ClientLimits, "no_memory") })
	}
	f.write(large, input[80<<10:])
	if answer := string(f.read(large, len(refusal(nil, 0)))); answer != string(refusal(nil, 0)) {
		t.Fatalf("the answer is %q, want a refusal", answer)
	}
	f.write(large, request("small", 1))
	f.runOnLoop(f.nextSubmitted().Failed)
	if answer := string(f.read(large, len(failure(nil)))); answer != string(failure(nil)) {
		t.Fatalf("the answer to the next request is %q, want a failure", answer)
	}
	if got := f.loop.Metrics().Sum(metrics.Closed); got != 0 {
		t.Errorf("%d connections were closed, want none", got)
	}
}
