package discovery

import (
	"bufio"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"beechgrade/internal/clock"
	"beechgrade/internal/loop"
)

// told are the generations of the lists that were told, and 0 for each failure.
type told chan int64

func (c told) ListReceived(l *List) { c <- l.Generation }
func (c told) ListFailed()          { c <- 0 }

type nobody struct{}

func (nobody) Opened(*loop.Conn) {}
func (nobody) Data([]byte)       {}
func (nobody) Closed(error)      {}

// rig is a client on a loop of its own, with a clock set by hand, and the calls that come to its discovery.
type rig struct {
	t      *testing.T
	clk    *clock.Manual
	loop   *loop.Loop
	server net.Listener
	client *Client
	events told
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, clk: &clock.Manual{Ms: 1e6}, events: make(told, 9), server: listen(t)}
	started, ended := make(chan struct{}), make(chan error, 1)
	r.loop = loop.New(r.clk, slog.New(slog.DiscardHandler), func() loop.Handler { return nobody{} }, func() {
		r.client = New(r.loop, slog.New(slog.DiscardHandler), r.server.Addr().String(), 4, r.events)
		close(started)
	})
	go func() { ended <- r.loop.Run("127.0.0.1:0") }()
	<-started
	t.Cleanup(func() {
		r.loop.Shutdown()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return r
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// do runs f on the loop; what is done after this comes after it.
func (r *rig) do(f func()) {
	done := make(chan struct{})
	r.loop.Post(func() { f(); close(done) })
	<-done
}

func (r *rig) pass(ms float64) { r.do(func() { r.clk.Ms += ms }) }

// call takes the next call, which has to ask for the path.
func (r *rig) call(l net.Listener, path string) *net.TCPConn {
	r.t.Helper()
	_ = l.(*net.TCPListener).SetDeadline(time.Now().Add(20 * time.Second))
	c, err := l.Accept()
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil || q.URL.String() != path {
		r.t.Fatalf("asked %v, error %v; want %s", q, err, path)
	}
	return c.(*net.TCPConn)
}

func (r *rig) say(c net.Conn, s string) {
	r.t.Helper()
	if _, err := c.Write([]byte(s)); err != nil {
		r.t.Fatal(err)
	}
}

func (r *rig) next(want int64) {
	r.t.Helper()
	select {
	case got := <-r.events:
		if got != want {
			r.t.Fatalf("told %d, want %d", got, want)
		}
	case <-time.After(20 * time.Second):
		r.t.Fatalf("not told: %d", want)
	}
}

const (
	chunked  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	noLength = "HTTP/1.1 200 OK\r\n\r\n"
)

// TestSilentWatchIsDead guards against waiting for ever on a discovery that vanished: nothing closes such a connection, and
// drains would go unheard. A sign of life puts the end off.
func TestSilentWatchIsDead(t *testing.T) {
	r := newRig(t)
	r.do(r.client.Watch)
	far := r.call(r.server, "/v1/endpoints?watch=1&from=4")
	const list = "11\r\n{\"generation\":5}\n\r\n"
	r.say(far, chunked+list)
	r.next(5)
	r.pass(2400) // signs of life come every 2 s
	r.say(far, list)
	r.next(5)
	r.pass(2400)
	r.say(far, list)
	r.next(5)
	r.pass(3000) // what is told counts as known after 6 s, and the next watch needs some of them
	r.next(0)
}

// TestHowAnAnswerEnds: a list that comes in pieces, over many lines and without a length counts once its answer has ended in
// order, and not before; an answer that is reset on the way is no list, though all brackets are closed.
func TestHowAnAnswerEnds(t *testing.T) {
	const list = "{\n  \"generation\": 7,\n  \"reset\": true,\n  \"instances\": [\n    {\n      \"instanceId\": \"s-1\"\n    }\n  ]\n}\n"
	for name, c := range map[string]struct {
		pieces []string
		reset  bool
		want   int64
	}{
		"no length":          {[]string{noLength, list[:9], list[9:40], list[40:]}, false, 7},
		"no length, reset":   {[]string{noLength, list}, true, 0},
		"no length, half":    {[]string{noLength, list[:40]}, false, 0},
		"a length":           {[]string{fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(list)), list}, false, 7},
		"chunked, cut off":   {[]string{fmt.Sprintf("%s%x\r\n%s\r\n", chunked, len(list), list)}, false, 0},
		"chunked, two parts": {[]string{fmt.Sprintf("%s9\r\n%s\r\n", chunked, list[:9]), fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(list)-9, list[9:])}, false, 7},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.do(r.client.Fetch)
			far := r.call(r.server, "/v1/endpoints")
			for _, piece := range c.pieces {
				r.say(far, piece)
			}
			if c.reset {
				_ = far.SetLinger(0)
			}
			_ = far.Close()
			r.next(c.want)
			r.do(func() {})
			if len(r.events) > 0 {
				t.Errorf("told %d as well", <-r.events)
			}
		})
	}
}

func line(generation int, reset bool) string {
	l := fmt.Sprintf("{\"generation\":%d,\"reset\":%v}\n", generation, reset)
	return fmt.Sprintf("%x\r\n%s\r\n", len(l), l)
}

// TestWholeListCrossesTheWatch: a watch and a call for the whole list are worked on side by side. A whole list that is older
// than what the watch has brought would take that back, and a change that is older than a whole list, that list.
func TestWholeListCrossesTheWatch(t *testing.T) {
	r := newRig(t)
	r.do(r.client.Watch)
	watch := r.call(r.server, "/v1/endpoints?watch=1&from=4")
	r.do(r.client.Fetch)
	fetch := r.call(r.server, "/v1/endpoints")
	r.say(watch, chunked+line(6, false))
	r.next(6)
	r.say(fetch, chunked+line(5, true)+"0\r\n\r\n")
	r.next(0) // and not 5
	r.do(r.client.Watch)
	watch = r.call(r.server, "/v1/endpoints?watch=1&from=6")
	r.say(watch, chunked+line(6, false))
	r.next(6)
	r.do(r.client.Fetch)
	fetch = r.call(r.server, "/v1/endpoints")
	r.say(fetch, chunked+line(8, true)+"0\r\n\r\n")
	r.next(8)
	r.say(watch, line(7, false)+line(9, false))
	r.next(9) // and not 7
}

// TestWholeListOfANewAddressFails: until the whole list of a new address has come, what is held is another's. A call for it that
// fails, while the watch stays open, is made good by the next watch.
func TestWholeListOfANewAddressFails(t *testing.T) {
	r := newRig(t)
	second := listen(t)
	r.do(func() { r.client.SetAddress(second.Addr().String()) })
	watch := r.call(second, "/v1/endpoints?watch=1&from=0")
	r.say(watch, chunked+line(40, false))
	r.next(40)
	_ = r.call(second, "/v1/endpoints").Close()
	r.next(0)
	r.do(r.client.Watch)
	watch = r.call(second, "/v1/endpoints?watch=1&from=0")
	r.say(watch, chunked+line(40, true))
	r.next(40)
	r.do(r.client.Watch)
	r.call(second, "/v1/endpoints?watch=1&from=40")
}

// TestCountsAnew: a discovery that has lost count tells changes since what nobody knows, so its whole list is asked for.
func TestCountsAnew(t *testing.T) {
	r := newRig(t)
	r.do(r.client.Watch)
	watch := r.call(r.server, "/v1/endpoints?watch=1&from=4")
	r.say(watch, chunked+line(2, false))
	r.next(2)
	fetch := r.call(r.server, "/v1/endpoints")
	r.say(fetch, chunked+line(3, true)+"0\r\n\r\n")
	r.next(3)
}
