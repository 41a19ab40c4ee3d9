package loop

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"beechgrade/internal/clock"
	"beechgrade/internal/metrics"
)

// testTimeout limits every wait of a test. No test depends on how fast something happens.
const testTimeout = 20 * time.Second

// errorInjector makes the next calls fail; remaining is their number. If it is negative, calls fail until it is set to 0.
type errorInjector struct {
	remaining atomic.Int64
	err       error
}

// injectError returns an injector that makes the next n calls fail with err.
func injectError(n int64, err error) *errorInjector {
	f := &errorInjector{err: err}
	f.remaining.Store(n)
	return f
}

// nextError returns the error with which the next call has to fail, or nil.
func (f *errorInjector) nextError() error {
	if left := f.remaining.Load(); left == 0 {
		return nil
	} else if left > 0 {
		f.remaining.Add(-1)
	}
	return f.err
}

// echoHandler sends back what it receives and reports the error passed to Closed.
type echoHandler struct {
	c      *Conn
	closed chan error
}

func (e *echoHandler) Opened(c *Conn)   { e.c = c }
func (e *echoHandler) Data(b []byte)    { _ = e.c.Write(b) }
func (e *echoHandler) Closed(err error) { e.closed <- err }

// testLoop is a running loop that echoes what clients send, with some system calls replaced.
type testLoop struct {
	*Loop
	t         *testing.T
	closeErrs chan error // errors passed to Closed
	runErr    chan error // result of Run
}

// runLoop starts a loop, whose system calls configure may replace, and stops it at the end of the test.
func runLoop(t *testing.T, configure func(*kernel)) *testLoop {
	t.Helper()
	tl := &testLoop{t: t, closeErrs: make(chan error, 99), runErr: make(chan error, 1)}
	tl.Loop = New(clock.System(), slog.New(slog.DiscardHandler), func() Handler { return &echoHandler{closed: tl.closeErrs} },
		func() {})
	configure(tl.kernel)
	ready := make(chan struct{})
	tl.OnReady = func() { close(ready) }
	go func() { tl.runErr <- tl.Run("127.0.0.1:0") }()
	select {
	case <-ready:
	case err := <-tl.runErr:
		t.Fatal(err)
	}
	t.Cleanup(func() {
		tl.Shutdown()
		if err := <-tl.runErr; err != nil {
			t.Error(err)
		}
	})
	return tl
}

func (tl *testLoop) dialClient() net.Conn {
	tl.t.Helper()
	c, err := net.Dial("tcp", tl.Addr())
	if err != nil {
		tl.t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	tl.t.Cleanup(func() { _ = c.Close() })
	return c
}

// expectEcho sends text and fails the test unless the same text is received.
func (tl *testLoop) expectEcho(c net.Conn, text string) {
	tl.t.Helper()
	go func() { _, _ = io.WriteString(c, text) }()
	got := make([]byte, len(text))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != text {
		tl.t.Fatalf("got %.40q, want %.40q (error %v)", got, text, err)
	}
}

// runOnLoop runs f on the loop and waits until it has returned.
func (tl *testLoop) runOnLoop(f func()) {
	done := make(chan struct{})
	tl.Post(func() { f(); close(done) })
	<-done
}

// TestAcceptFails tests that connections that cannot be accepted at once are accepted later, and that open connections are kept.
func TestAcceptFails(t *testing.T) {
	for _, errno := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.EPERM, unix.EINTR,
		unix.ECONNABORTED, unix.ENETDOWN, unix.EHOSTUNREACH, unix.ENOSYS} {
		for _, times := range []int64{1, 5} {
			t.Run(fmt.Sprint(unix.ErrnoName(errno), times), func(t *testing.T) {
				injector := injectError(0, errno)
				tl := runLoop(t, func(k *kernel) {
					k.accept4 = func(fd, flags int) (int, syscall.Sockaddr, error) {
						if err := injector.nextError(); err != nil {
							return -1, nil, err
						}
						return syscall.Accept4(fd, flags)
					}
				})
				exhaustedCalls := 0
				tl.runOnLoop(func() { tl.OnDescriptorsExhausted = func() bool { exhaustedCalls++; return false } })
				established := tl.dialClient()
				tl.expectEcho(established, "before")
				injector.remaining.Store(times)
				tl.expectEcho(tl.dialClient(), "late")
				tl.expectEcho(established, "after")
				if got := tl.Metrics().Value(metrics.SyscallErrors, "accept4."+unix.ErrnoName(errno)); got != times {
					t.Errorf("counted %d failures of accept4, want %d", got, times)
				}
				tl.runOnLoop(func() {
					if want := errno == unix.EMFILE || errno == unix.ENFILE; (exhaustedCalls > 0) != want || tl.AcceptPaused() {
						t.Errorf("OnDescriptorsExhausted called %d times, want calls only without descriptors; AcceptPaused %v, want false",
							exhaustedCalls, tl.AcceptPaused())
					}
				})
			})
		}
	}
}

// TestAcceptAfterDescriptorsFreed tests that the loop accepts without a pause if OnDescriptorsExhausted has closed a connection.
func TestAcceptAfterDescriptorsFreed(t *testing.T) {
	injector := injectError(1, unix.EMFILE)
	tl := runLoop(t, func(k *kernel) {
		k.accept4 = func(fd, flags int) (int, syscall.Sockaddr, error) {
			if err := injector.nextError(); err != nil {
				return -1, nil, err
			}
			return syscall.Accept4(fd, flags)
		}
	})
	exhaustedCalls := make(chan bool, 9)
	tl.runOnLoop(func() {
		tl.OnDescriptorsExhausted = func() bool {
			exhaustedCalls <- true
			return true
		}
	})
	tl.expectEcho(tl.dialClient(), "served")
	tl.runOnLoop(func() {
		if len(exhaustedCalls) != 1 || tl.listener.backoff.firstFailureMs != 0 {
			t.Errorf("OnDescriptorsExhausted called %d times, want 1, or accepting is still in its back-off", len(exhaustedCalls))
		}
	})
}

// TestReadAndWriteFail tests that a read or write that fails with a transient error is retried without loss or duplication of
// data, and that an error that means the end of the connection closes it.
func TestReadAndWriteFail(t *testing.T) {
	for _, errno := range []unix.Errno{unix.EINTR, unix.ENOBUFS, unix.ENOMEM, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.EIO} {
		for _, times := range []int64{1, 5} {
			t.Run(fmt.Sprint(unix.ErrnoName(errno), times), func(t *testing.T) {
				reads, writes := injectError(0, errno), injectError(0, errno)
				tl := runLoop(t, func(k *kernel) { k.read, k.write = failingRead(reads), failingWrite(writes) })
				c := tl.dialClient()
				tl.expectEcho(c, "before")
				reads.remaining.Store(times)
				tl.expectEcho(c, "while reads fail")
				writes.remaining.Store(times)
				tl.expectEcho(c, "while writes fail")
				reads.remaining.Store(times)
				writes.remaining.Store(times)
				tl.expectEcho(c, string(bytes.Repeat([]byte("both "), 1<<16)))
				if len(tl.closeErrs) > 0 {
					t.Errorf("connection closed with %v, want it open", <-tl.closeErrs)
				}
			})
		}
	}
	for _, errno := range []unix.Errno{unix.ECONNRESET, unix.EPIPE} {
		t.Run("ends by "+unix.ErrnoName(errno), func(t *testing.T) {
			reads := injectError(0, errno)
			tl := runLoop(t, func(k *kernel) { k.read = failingRead(reads) })
			c := tl.dialClient()
			tl.expectEcho(c, "before")
			reads.remaining.Store(1)
			_, _ = io.WriteString(c, "x")
			if err := <-tl.closeErrs; !errors.Is(err, errno) {
				t.Errorf("closed with %v, want the injected error", err)
			}
		})
	}
}

// failingRead returns a read that fails on sockets with the errors of injector. Reads of the eventfd, whose buffer has 8
// bytes, do not fail.
func failingRead(injector *errorInjector) func(int, []byte) (int, error) {
	return func(fd int, b []byte) (int, error) {
		if len(b) > 8 {
			if err := injector.nextError(); err != nil {
				return -1, err
			}
		}
		return unix.Read(fd, b)
	}
}

// failingWrite returns a write that fails on sockets with the errors of injector. Writes to the eventfd do not fail.
func failingWrite(injector *errorInjector) func(int, []byte) (int, error) {
	return func(fd int, b []byte) (int, error) {
		if !bytes.Equal(b, []byte{1, 0, 0, 0, 0, 0, 0, 0}) {
			if err := injector.nextError(); err != nil {
				return -1, err
			}
		}
		return unix.Write(fd, b)
	}
}

// TestReadErrorBeforeEndOfStream tests that a transient read error on a dialled connection is reported as the cause if the end of
// the stream follows it. Otherwise a reset would be taken for an orderly close. An accepted connection is not read any more once
// the poller has reported its end.
func TestReadErrorBeforeEndOfStream(t *testing.T) {
	reads := injectError(0, unix.ETIMEDOUT)
	tl := runLoop(t, func(k *kernel) { k.read = failingRead(reads) })
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	tl.runOnLoop(func() {
		tl.Dial(server.Addr().String(), 5000, &echoHandler{closed: tl.closeErrs}, func(err error) { t.Error(err) })
	})
	c, err := server.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	tl.expectEcho(c, "before")
	reads.remaining.Store(1)
	_ = c.Close()
	if err := <-tl.closeErrs; !errors.Is(err, unix.ETIMEDOUT) {
		t.Errorf("closed with %v, want ETIMEDOUT", err)
	}
}

// TestShortReadsAndWrites tests that nothing is lost or duplicated if each call transfers at most 8 bytes.
func TestShortReadsAndWrites(t *testing.T) {
	tl := runLoop(t, func(k *kernel) {
		k.read = func(fd int, b []byte) (int, error) { return unix.Read(fd, b[:min(len(b), 8)]) }
		k.write = func(fd int, b []byte) (int, error) { return unix.Write(fd, b[:min(len(b), 8)]) }
	})
	tl.expectEcho(tl.dialClient(), string(bytes.Repeat([]byte("0123456789"), 1<<12)))
}

// TestPollerRejectsDescriptors tests that connections are served even if epoll_ctl fails for them.
func TestPollerRejectsDescriptors(t *testing.T) {
	injector := injectError(0, unix.ENOSPC)
	tl := runLoop(t, func(k *kernel) {
		k.epollCtl = func(epfd, op, fd int, e *unix.EpollEvent) error {
			if err := injector.nextError(); err != nil {
				return err
			}
			return unix.EpollCtl(epfd, op, fd, e)
		}
	})
	injector.remaining.Store(-1)
	c := tl.dialClient()
	tl.expectEcho(c, "never watched")
	tl.expectEcho(c, string(bytes.Repeat([]byte("more than a socket takes "), 1<<17)))
	injector.remaining.Store(0)
	tl.expectEcho(c, "watched")
}

// TestPollerFails tests that connections are accepted and served without the poller while epoll_wait fails.
func TestPollerFails(t *testing.T) {
	for _, errno := range []unix.Errno{unix.EINTR, unix.EINVAL, unix.EBADF} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			injector := injectError(0, errno)
			tl := runLoop(t, func(k *kernel) {
				k.epollWait = func(epfd int, events []unix.EpollEvent, ms int) (int, error) {
					if err := injector.nextError(); err != nil {
						return -1, err
					}
					return unix.EpollWait(epfd, events, ms)
				}
			})
			c := tl.dialClient()
			tl.expectEcho(c, "before")
			injector.remaining.Store(-1)
			tl.expectEcho(c, "meanwhile")
			tl.expectEcho(tl.dialClient(), "late")
			injector.remaining.Store(0)
			tl.expectEcho(c, "after")
		})
	}
}

// TestDialWhilePollerFails tests that a connection that is still being established is not taken for an open one.
func TestDialWhilePollerFails(t *testing.T) {
	polls, peers := injectError(0, unix.EINVAL), injectError(3, unix.ENOTCONN)
	tl := runLoop(t, func(k *kernel) {
		k.epollWait = func(epfd int, events []unix.EpollEvent, ms int) (int, error) {
			if err := polls.nextError(); err != nil {
				return -1, err
			}
			return unix.EpollWait(epfd, events, ms)
		}
		k.getpeername = func(fd int) (syscall.Sockaddr, error) {
			if err := peers.nextError(); err != nil {
				return nil, err
			}
			return syscall.Getpeername(fd)
		}
	})
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	handler := &dialHandler{make(chan *Conn, 1), make(chan string, 1)}
	polls.remaining.Store(-1)
	tl.runOnLoop(func() { tl.Dial(peer.Addr().String(), 5000, handler, func(err error) { t.Error(err) }) })
	select {
	case <-handler.opened:
	case <-time.After(testTimeout):
		t.Fatal("the connection was not reported as open")
	}
	if left := peers.remaining.Load(); left != 0 {
		t.Errorf("reported as open although getpeername would have failed %d more times", left)
	}
	polls.remaining.Store(0)
}

// TestWakeFails tests that a posted function runs even if the write that wakes the loop for it fails.
func TestWakeFails(t *testing.T) {
	injector := injectError(0, unix.EIO)
	tl := runLoop(t, func(k *kernel) {
		k.write = func(fd int, b []byte) (int, error) {
			if bytes.Equal(b, []byte{1, 0, 0, 0, 0, 0, 0, 0}) {
				if err := injector.nextError(); err != nil {
					return -1, err
				}
			}
			return unix.Write(fd, b)
		}
	})
	tl.runOnLoop(func() {})
	time.Sleep(10 * time.Millisecond) // lets the loop enter epoll_wait
	injector.remaining.Store(3)
	tl.runOnLoop(func() {})
	tl.runOnLoop(func() {})
}

// dialHandler is a Handler that sends its connection and the data received to channels.
type dialHandler struct {
	opened chan *Conn
	data   chan string
}

func (d *dialHandler) Opened(c *Conn) { d.opened <- c }
func (d *dialHandler) Data(b []byte)  { d.data <- string(b) }
func (d *dialHandler) Closed(error)   {}

// TestDialFails tests that errors caused by this machine are reported as local, and errors from the network or the remote side
// are not. A failing call that the connection does not depend on must not prevent it from being established.
func TestDialFails(t *testing.T) {
	type fault struct {
		call  string
		err   unix.Errno
		times int64
		want  string // up, local or remote
	}
	for _, c := range []fault{
		{"socket", unix.EMFILE, 1, "local"}, {"socket", unix.ENFILE, 1, "local"}, {"socket", unix.ENOBUFS, 1, "local"},
		{"socket", unix.ENOMEM, 1, "local"}, {"connect", unix.EADDRNOTAVAIL, 1, "local"}, {"connect", unix.EAGAIN, 1, "local"},
		{"connect", unix.EINTR, 1, "up"}, {"connect", unix.ENETUNREACH, 1, "remote"}, {"connect", unix.EHOSTUNREACH, 1, "remote"},
		{"connect", unix.ECONNREFUSED, 1, "remote"}, {"connect", unix.ETIMEDOUT, 1, "remote"}, {"setsockopt", unix.ENOBUFS, 1, "up"},
		{"getsockopt", unix.ENOBUFS, 1, "up"}, {"getsockopt", unix.ENOBUFS, 9, "local"}, {"getsockname", unix.ENOBUFS, 1, "up"},
		{"epoll_ctl", unix.ENOMEM, 9, "up"},
	} {
		t.Run(fmt.Sprint(c.call, unix.ErrnoName(c.err), c.times), func(t *testing.T) {
			injector := injectError(0, c.err)
			tl := runLoop(t, func(k *kernel) { k.failCall(c.call, injector) })
			peer, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			handler, failed := &dialHandler{make(chan *Conn, 1), make(chan string, 1)}, make(chan error, 1)
			injector.remaining.Store(c.times)
			tl.runOnLoop(func() { tl.Dial(peer.Addr().String(), 5000, handler, func(err error) { failed <- err }) })
			got := ""
			select {
			case <-handler.opened:
				got = "up"
			case err := <-failed:
				if got = "remote"; IsLocal(err) {
					got = "local"
				}
				if !errors.Is(err, c.err) {
					t.Errorf("failed with %v, want the injected error", err)
				}
			case <-time.After(testTimeout):
				t.Fatal("no outcome was reported")
			}
			if got != c.want {
				t.Errorf("the dial was reported as %s, want %s", got, c.want)
			}
		})
	}
}

// failCall makes one system call fail with the errors of injector.
func (k *kernel) failCall(call string, injector *errorInjector) {
	original := *k
	switch call {
	case "socket":
		k.socket = func(domain, kind, protocol int) (int, error) {
			if err := injector.nextError(); err != nil {
				return -1, err
			}
			return original.socket(domain, kind, protocol)
		}
	case "connect":
		k.connect = func(fd int, addr unix.Sockaddr) error {
			if err := injector.nextError(); err != nil {
				return err
			}
			return original.connect(fd, addr)
		}
	case "setsockopt":
		k.setsockopt = func(fd, level, option, value int) error {
			if err := injector.nextError(); err != nil {
				return err
			}
			return original.setsockopt(fd, level, option, value)
		}
	case "getsockopt":
		k.getsockopt = func(fd, level, option int) (int, error) {
			if err := injector.nextError(); err != nil {
				return 0, err
			}
			return original.getsockopt(fd, level, option)
		}
	case "getsockname":
		k.getsockname = func(fd int) (syscall.Sockaddr, error) {
			if err := injector.nextError(); err != nil {
				return nil, err
			}
			return original.getsockname(fd)
		}
	case "epoll_ctl":
		k.epollCtl = func(epfd, op, fd int, e *unix.EpollEvent) error {
			if err := injector.nextError(); err != nil {
				return err
			}
			return original.epollCtl(epfd, op, fd, e)
		}
	}
}

// TestDialRefused tests that dialling an address on which nobody listens is reported as refused, and that dialling an invalid
// address fails; neither error is local.
func TestDialRefused(t *testing.T) {
	tl := runLoop(t, func(*kernel) {})
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = peer.Close()
	failed := make(chan error, 1)
	tl.runOnLoop(func() { tl.Dial(peer.Addr().String(), 5000, &dialHandler{}, func(err error) { failed <- err }) })
	if err := <-failed; !errors.Is(err, unix.ECONNREFUSED) || IsLocal(err) {
		t.Errorf("failed with %v, want a remote ECONNREFUSED", err)
	}
	tl.runOnLoop(func() { tl.Dial("no address", 100, &dialHandler{}, func(err error) { failed <- err }) })
	if err := <-failed; IsLocal(err) {
		t.Errorf("failed with %v, want a remote error", err)
	}
}

// TestNoPendingInputInterrupted tests that interruptions of the system call do not change the result of NoPendingInput, unless
// every try is interrupted.
func TestNoPendingInputInterrupted(t *testing.T) {
	injector := injectError(0, unix.EINTR)
	tl := runLoop(t, func(k *kernel) {
		k.recvfrom = func(fd int, b []byte, flags int) (int, unix.Sockaddr, error) {
			if err := injector.nextError(); err != nil {
				return -1, nil, err
			}
			return unix.Recvfrom(fd, b, flags)
		}
	})
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	handler := &dialHandler{make(chan *Conn, 1), make(chan string, 1)}
	tl.runOnLoop(func() { tl.Dial(peer.Addr().String(), 5000, handler, func(err error) { t.Error(err) }) })
	c := <-handler.opened
	for times, want := range map[int64]bool{0: true, immediateTries - 1: true, immediateTries: false} {
		tl.runOnLoop(func() {
			injector.remaining.Store(times)
			if got := c.NoPendingInput(); got != want {
				t.Errorf("after %d failures NoPendingInput is %v, want the opposite", times, got)
			}
		})
	}
}

// TestListenFails tests that transient failures at startup are retried, and that an invalid address is not.
func TestListenFails(t *testing.T) {
	for _, call := range []string{"socket", "setsockopt", "epoll_ctl"} {
		injector := injectError(4, unix.ENOMEM)
		tl := runLoop(t, func(k *kernel) { k.failCall(call, injector) })
		tl.expectEcho(tl.dialClient(), "served")
	}
	l := New(clock.System(), slog.New(slog.DiscardHandler), nil, func() {})
	if err := l.Run("nowhere"); !errors.Is(err, errInvalidAddress) {
		t.Errorf("Run with an invalid address: got %v, want errInvalidAddress", err)
	}
}
