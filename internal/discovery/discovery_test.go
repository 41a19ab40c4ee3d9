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

// generations receives the generation of each reported list, and 0 for each failure.
type generations chan int64

func (c generations) ListReceived(l *List) { c <- l.Generation }
func (c generations) ListFailed()          { c <- 0 }

type noopHandler struct{}

func (noopHandler) Opened(*loop.Conn) {}
func (noopHandler) Data([]byte)       {}
func (noopHandler) Closed(error)      {}

// testClient is a client on its own loop, with a clock that only the test advances, and a listener in place of the service.
type testClient struct {
	t      *testing.T
	clk    *clock.Manual
	loop   *loop.Loop
	server net.Listener
	client *Client
	events generations
}

func newTestClient(t *testing.T) *testClient {
	tc := &testClient{t: t, clk: &clock.Manual{Ms: 1e6}, events: make(generations, 9), server: listen(t)}
	started, ended := make(chan struct{}), make(chan error, 1)
	tc.loop = loop.New(tc.clk, slog.New(slog.DiscardHandler), func() loop.Handler { return noopHandler{} }, func() {
		tc.client = New(tc.loop, slog.New(slog.DiscardHandler), tc.server.Addr().String(), 4, tc.events)
		close(started)
	})
	go func() { ended <- tc.loop.Run("127.0.0.1:0") }()
	<-started
	t.Cleanup(func() {
		tc.loop.Shutdown()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return tc
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// runOnLoop runs f on the loop and waits until it has returned.
func (tc *testClient) runOnLoop(f func()) {
	done := make(chan struct{})
	tc.loop.Post(func() { f(); close(done) })
	<-done
}

func (tc *testClient) advance(ms float64) { tc.runOnLoop(func() { tc.clk.Ms += ms }) }

// acceptCall accepts the next connection and reads its request, which must be for path.
func (tc *testClient) acceptCall(l net.Listener, path string) *net.TCPConn {
	tc.t.Helper()
	_ = l.(*net.TCPListener).SetDeadline(time.Now().Add(20 * time.Second))
	c, err := l.Accept()
	if err != nil {
		tc.t.Fatal(err)
	}
	tc.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil || request.URL.String() != path {
		tc.t.Fatalf("got request %v, error %v; want path %s", request, err, path)
	}
	return c.(*net.TCPConn)
}

func (tc *testClient) write(c net.Conn, s string) {
	tc.t.Helper()
	if _, err := c.Write([]byte(s)); err != nil {
		tc.t.Fatal(err)
	}
}

// expect waits for the next event, which must be the generation want.
func (tc *testClient) expect(want int64) {
	tc.t.Helper()
	select {
	case got := <-tc.events:
		if got != want {
			tc.t.Fatalf("got generation %d, want %d", got, want)
		}
	case <-time.After(20 * time.Second):
		tc.t.Fatalf("no event within 20 s, want generation %d", want)
	}
}

const (
	chunked  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	noLength = "HTTP/1.1 200 OK\r\n\r\n"
)

// TestSilentWatchTimesOut guards against waiting forever for a discovery service that has failed without closing the
// connection. Drains would not be noticed. Each keep-alive restarts the time-out.
func TestSilentWatchTimesOut(t *testing.T) {
	tc := newTestClient(t)
	tc.runOnLoop(tc.client.Watch)
	serverConn := tc.acceptCall(tc.server, "/v1/endpoints?watch=1&from=4")
	const list = "11\r\n{\"generation\":5}\n\r\n"
	tc.write(serverConn, chunked+list)
	tc.expect(5)
	tc.advance(2400) // the service sends a keep-alive every 2 s
	tc.write(serverConn, list)
	tc.expect(5)
	tc.advance(2400)
	tc.write(serverConn, list)
	tc.expect(5)
	tc.advance(3000) // a change must be known within 6 s, and opening the next watch takes part of that time
	tc.expect(0)
}

// TestEndOfResponse: a list may be received in parts, on many lines and without a content length. It is used only after its
// response has ended regularly. A response that ends in a reset is not used, even if the JSON value in it is complete.
func TestEndOfResponse(t *testing.T) {
	const list = "{\n  \"generation\": 7,\n  \"reset\": true,\n  \"instances\": [\n    {\n      \"instanceId\": \"s-1\"\n    }\n  ]\n}\n"
	for name, c := range map[string]struct {
		parts []string
		reset bool
		want  int64
	}{
		"no length":            {[]string{noLength, list[:9], list[9:40], list[40:]}, false, 7},
		"no length, reset":     {[]string{noLength, list}, true, 0},
		"no length, truncated": {[]string{noLength, list[:40]}, false, 0},
		"content length":       {[]string{fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(list)), list}, false, 7},
		"chunked, truncated":   {[]string{fmt.Sprintf("%s%x\r\n%s\r\n", chunked, len(list), list)}, false, 0},
		"chunked, two parts": {[]string{fmt.Sprintf("%s9\r\n%s\r\n", chunked, list[:9]),
			fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(list)-9, list[9:])}, false, 7},
	} {
		t.Run(name, func(t *testing.T) {
			tc := newTestClient(t)
			tc.runOnLoop(tc.client.Fetch)
			serverConn := tc.acceptCall(tc.server, "/v1/endpoints")
			for _, part := range c.parts {
				tc.write(serverConn, part)
			}
			if c.reset {
				_ = serverConn.SetLinger(0)
			}
			_ = serverConn.Close()
			tc.expect(c.want)
			tc.runOnLoop(func() {})
			if len(tc.events) > 0 {
				t.Errorf("got a second event with generation %d, want none", <-tc.events)
			}
		})
	}
}

// listChunk returns an HTTP chunk with a list that has no instances.
func listChunk(generation int, reset bool) string {
	l := fmt.Sprintf("{\"generation\":%d,\"reset\":%v}\n", generation, reset)
	return fmt.Sprintf("%x\r\n%s\r\n", len(l), l)
}

// TestFullListConcurrentWithWatch: a watch and a request for the full list may be open at the same time. A full list that is
// older than a change from the watch would undo the change, and a change that is older than the full list would undo part of
// the list.
func TestFullListConcurrentWithWatch(t *testing.T) {
	tc := newTestClient(t)
	tc.runOnLoop(tc.client.Watch)
	watch := tc.acceptCall(tc.server, "/v1/endpoints?watch=1&from=4")
	tc.runOnLoop(tc.client.Fetch)
	fetch := tc.acceptCall(tc.server, "/v1/endpoints")
	tc.write(watch, chunked+listChunk(6, false))
	tc.expect(6)
	tc.write(fetch, chunked+listChunk(5, true)+"0\r\n\r\n")
	tc.expect(0) // the older generation 5 is not reported
	tc.runOnLoop(tc.client.Watch)
	watch = tc.acceptCall(tc.server, "/v1/endpoints?watch=1&from=6")
	tc.write(watch, chunked+listChunk(6, false))
	tc.expect(6)
	tc.runOnLoop(tc.client.Fetch)
	fetch = tc.acceptCall(tc.server, "/v1/endpoints")
	tc.write(fetch, chunked+listChunk(8, true)+"0\r\n\r\n")
	tc.expect(8)
	tc.write(watch, listChunk(7, false)+listChunk(9, false))
	tc.expect(9) // the older generation 7 is not reported
}

// TestFullListFromNewAddressFails: until the full list from a new address has been received, the known list is from the old
// one. If the request for it fails while the watch stays open, the next watch must start from generation 0.
func TestFullListFromNewAddressFails(t *testing.T) {
	tc := newTestClient(t)
	second := listen(t)
	tc.runOnLoop(func() { tc.client.SetAddress(second.Addr().String()) })
	watch := tc.acceptCall(second, "/v1/endpoints?watch=1&from=0")
	tc.write(watch, chunked+listChunk(40, false))
	tc.expect(40)
	_ = tc.acceptCall(second, "/v1/endpoints").Close()
	tc.expect(0)
	tc.runOnLoop(tc.client.Watch)
	watch = tc.acceptCall(second, "/v1/endpoints?watch=1&from=0")
	tc.write(watch, chunked+listChunk(40, true))
	tc.expect(40)
	tc.runOnLoop(tc.client.Watch)
	tc.acceptCall(second, "/v1/endpoints?watch=1&from=40")
}

// TestGenerationRestart: a discovery service that has restarted its count of generations reports changes to an unknown base,
// so the client has to request the full list.
func TestGenerationRestart(t *testing.T) {
	tc := newTestClient(t)
	tc.runOnLoop(tc.client.Watch)
	watch := tc.acceptCall(tc.server, "/v1/endpoints?watch=1&from=4")
	tc.write(watch, chunked+listChunk(2, false))
	tc.expect(2)
	fetch := tc.acceptCall(tc.server, "/v1/endpoints")
	tc.write(fetch, chunked+listChunk(3, true)+"0\r\n\r\n")
	tc.expect(3)
}
