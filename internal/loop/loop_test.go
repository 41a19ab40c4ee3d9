package loop

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"beechgrade/internal/clock"
)

// openedHandler is a Handler that sends its connection to a channel once it is open.
type openedHandler struct{ opened chan *Conn }

func (h openedHandler) Opened(c *Conn) { h.opened <- c }
func (h openedHandler) Data([]byte)    {}
func (h openedHandler) Closed(error)   {}

// TestNoPendingInputSeesUnreportedClose guards against writing a request to a connection that the server has closed while the
// loop was busy. Such a request would count as one that may have been executed.
func TestNoPendingInputSeesUnreportedClose(t *testing.T) {
	handler := openedHandler{make(chan *Conn, 9)}
	started, runErr := make(chan struct{}), make(chan error, 1)
	l := New(clock.System(), slog.New(slog.DiscardHandler), func() Handler { return openedHandler{make(chan *Conn, 1)} },
		func() { close(started) })
	go func() { runErr <- l.Run("127.0.0.1:0") }()
	<-started
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Post(func() { l.Dial(server.Addr().String(), 5000, handler, func(err error) { t.Error(err) }) })
	serverConn, err := server.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := <-handler.opened
	done := make(chan [2]bool)
	l.Post(func() { // the loop does not poll while this function runs, so it cannot notice the close
		before := c.NoPendingInput()
		_ = serverConn.Close()
		after := c.NoPendingInput()
		for end := time.Now().Add(20 * time.Second); after && time.Now().Before(end); {
			after = c.NoPendingInput()
		}
		done <- [2]bool{before, after}
	})
	if got := <-done; got != [2]bool{true, false} {
		t.Errorf("NoPendingInput before and after the close: %v, want [true false]", got)
	}
	l.Shutdown()
	if err := <-runErr; err != nil {
		t.Error(err)
	}
}

// unreadHandler is a Handler that never reads and reports the error passed to Closed.
type unreadHandler struct {
	openedHandler
	closed chan error
}

func (h unreadHandler) Closed(err error) { h.closed <- err }

// TestPeerClosedBehindUnreadInput guards against attempts for clients that have left: a client sends input and closes its
// connection, while the loop does not poll or the input is not read. PeerClosed must report the close at once, also if poll is
// interrupted twice, and the connection must end although the end of the stream lies behind unread input.
func TestPeerClosedBehindUnreadInput(t *testing.T) {
	interrupted := injectError(0, unix.EINTR)
	tl := runLoop(t, func(k *kernel) {
		k.poll = func(fds []unix.PollFd, ms int) (int, error) {
			if err := interrupted.nextError(); err != nil {
				return 0, err
			}
			return unix.Poll(fds, ms)
		}
	})
	handler := unreadHandler{openedHandler{make(chan *Conn, 1)}, make(chan error, 1)}
	tl.runOnLoop(func() { tl.newHandler = func() Handler { return handler } })
	client := tl.dialClient()
	c := <-handler.opened
	before, after := false, false
	tl.runOnLoop(func() { // the loop does not poll while this function runs
		c.SetReadLimit(0)
		before = c.PeerClosed()
		_, _ = client.Write(make([]byte, 1<<10))
		_ = client.Close()
		for end := time.Now().Add(testTimeout); !after && time.Now().Before(end); {
			interrupted.remaining.Store(2)
			after = c.PeerClosed()
		}
	})
	if before || !after {
		t.Errorf("PeerClosed before and after the close: %v, %v; want false, true", before, after)
	}
	select {
	case err := <-handler.closed:
		if err != io.EOF {
			t.Errorf("the connection ended with %v, want EOF", err)
		}
	case <-time.After(testTimeout):
		t.Error("the connection has not ended")
	}
}

// arrivalHandler is a Handler that reads 4 bytes at once, which takes 100 ms, and reports the earliest arrival of each piece.
type arrivalHandler struct {
	openedHandler
	clk      *clock.Manual
	c        *Conn
	arrivals chan float64
}

func (h *arrivalHandler) Opened(c *Conn) {
	h.c = c
	c.SetReadLimit(4)
}

func (h *arrivalHandler) Data([]byte) {
	h.arrivals <- h.c.EarliestArrival()
	h.clk.Ms += 100
}

// TestEarliestArrivalOfBacklog guards against telling a server more time than a client has left: what several reads take from the
// socket may have arrived before the first of them, and only what comes later counts from its own read.
func TestEarliestArrivalOfBacklog(t *testing.T) {
	handler := &arrivalHandler{clk: &clock.Manual{Ms: 1000}, arrivals: make(chan float64, 9)}
	ready, runErr := make(chan struct{}), make(chan error, 1)
	l := New(handler.clk, slog.New(slog.DiscardHandler), func() Handler { return handler }, func() {})
	l.OnReady = func() { close(ready) }
	go func() { runErr <- l.Run("127.0.0.1:0") }()
	<-ready
	client, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	var got []float64
	for _, input := range []string{"0123456789", "01234567", "01"} {
		if _, err := client.Write([]byte(input)); err != nil {
			t.Fatal(err)
		}
		for range (len(input) + 3) / 4 {
			got = append(got, <-handler.arrivals)
		}
	}
	if want := []float64{1000, 1000, 1000, 1300, 1300, 1500}; !slices.Equal(got, want) {
		t.Errorf("arrivals %v, want %v", got, want)
	}
	l.Shutdown()
	if err := <-runErr; err != nil {
		t.Error(err)
	}
}

// TestAddressInUse tests that listenOn fails if another socket listens on the address, and succeeds if only connections in
// TIME_WAIT are left. The first client must be accepted by the socket that listenOn returns: a separate check whether the address
// is free would accept and reset it.
func TestAddressInUse(t *testing.T) {
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := other.Addr().String()
	if _, err := listenOn(linuxKernel(), addr); !errors.Is(err, unix.EADDRINUSE) {
		t.Errorf("while another socket listens: got %v, want EADDRINUSE", err)
	}
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := other.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_, _, _ = accepted.Close(), c.Close(), other.Close() // leaves the listener's side in TIME_WAIT
	fd, err := listenOn(linuxKernel(), addr)
	if err != nil {
		t.Fatalf("while a connection is in TIME_WAIT: %v", err)
	}
	defer func() { _ = unix.Close(fd) }()
	client, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatalf("connecting immediately after listening began: %v", err)
	}
	defer func() { _ = client.Close() }()
	acceptedFD, _, err := unix.Accept4(fd, unix.SOCK_CLOEXEC)
	if err != nil {
		t.Fatalf("accepting the first client: %v", err)
	}
	_ = unix.Close(acceptedFD)
}
