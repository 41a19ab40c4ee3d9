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

// errorInjector makes a system call fail as often as remaining says; if it is negative, until it is set to 0.
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
	r := &testLoop{t: t, closeErrs: make(chan error, 99), runErr: make(chan error, 1)}
	r.Loop = New(clock.System(), slog.New(slog.DiscardHandler), func() Handler { return &echoHandler{closed: r.closeErrs} },
		func() {})
	configure(r.kernel)
	ready := make(chan struct{})
	r.OnReady = func() { close(ready) }
	go func() { r.runErr <- r.Run("127.0.0.1:0") }()
	select {
	case <-ready:
	case err := <-r.runErr:
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.Shutdown()
		if err := <-r.runErr; err != nil {
			t.Error(err)
		}
	})
	return r
}

func (r *testLoop) dialClient() net.Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.Addr())
	if err != nil {
		r.t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	r.t.Cleanup(func() { _ = c.Close() })
	return c
}

// expectEcho sends text and fails the test unless the same text comes back.
func (r *testLoop) expectEcho(c net.Conn, text string) {
	r.t.Helper()
	go func() { _, _ = io.WriteString(c, text) }()
	got := make([]byte, len(text))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != text {
		r.t.Fatalf("got %.40q, want %.40q: %v", got, text, err)
	}
}

// runOnLoop runs f on the loop and waits until it has returned.
func (r *testLoop) runOnLoop(f func()) {
	done := make(chan struct{})
	r.Post(func() { f(); close(done) })
	<-done
}

// TestAcceptFails tests that connections that cannot be accepted at once are accepted later, and that open connections are kept.
func TestAcceptFails(t *testing.T) {
	for _, errno := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.EPERM, unix.EINTR,
		unix.ECONNABORTED, unix.ENETDOWN, unix.EHOSTUNREACH, unix.ENOSYS} {
		for _, times := range []int64{1, 5} {
			t.Run(fmt.Sprint(unix.ErrnoName(errno), times), func(t *testing.T) {
				f := injectError(0, errno)
				r := runLoop(t, func(k *kernel) {
					k.accept4 = func(fd, flags int) (int, syscall.Sockaddr, error) {
						if err := f.nextError(); err != nil {
							return -1, nil, err
						}
						return syscall.Accept4(fd, flags)
					}
				})
				exhaustedCalls := 0
				r.runOnLoop(func() { r.OnDescriptorsExhausted = func() bool { exhaustedCalls++; return false } })
				established := r.dialClient()
				r.expectEcho(established, "before")
				f.remaining.Store(times)
				r.expectEcho(r.dialClient(), "late")
				r.expectEcho(established, "after")
				if got := r.Metrics().Value(metrics.SyscallErrors, "accept4."+unix.ErrnoName(errno)); got != times {
					t.Errorf("counted %d failures of accept4, want %d", got, times)
				}
				r.runOnLoop(func() {
					if want := errno == unix.EMFILE || errno == unix.ENFILE; (exhaustedCalls > 0) != want || r.AcceptPaused() {
						t.Errorf("OnDescriptorsExhausted called %d times, AcceptPaused %v", exhaustedCalls, r.AcceptPaused())
					}
				})
			})
		}
	}
}

// TestAcceptAfterDescriptorsFreed tests that the loop accepts without a pause if OnDescriptorsExhausted has closed a connection.
func TestAcceptAfterDescriptorsFreed(t *testing.T) {
	f := injectError(1, unix.EMFILE)
	r := runLoop(t, func(k *kernel) {
		k.accept4 = func(fd, flags int) (int, syscall.Sockaddr, error) {
			if err := f.nextError(); err != nil {
				return -1, nil, err
			}
			return syscall.Accept4(fd, flags)
		}
	})
	exhaustedCalls := make(chan bool, 9)
	r.runOnLoop(func() {
		r.OnDescriptorsExhausted = func() bool {
			exhaustedCalls <- true
			return true
		}
	})
	r.expectEcho(r.dialClient(), "served")
	r.runOnLoop(func() {
		if len(exhaustedCalls) != 1 || r.listener.backoff.firstFailureMs != 0 {
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
				r := runLoop(t, func(k *kernel) { k.read, k.write = failingRead(reads), failingWrite(writes) })
				c := r.dialClient()
				r.expectEcho(c, "before")
				reads.remaining.Store(times)
				r.expectEcho(c, "while reads fail")
				writes.remaining.Store(times)
				r.expectEcho(c, "while writes fail")
				reads.remaining.Store(times)
				writes.remaining.Store(times)
				r.expectEcho(c, string(bytes.Repeat([]byte("both "), 1<<16)))
				if len(r.closeErrs) > 0 {
					t.Errorf("connection closed with %v", <-r.closeErrs)
				}
			})
		}
	}
	for _, errno := range []unix.Errno{unix.ECONNRESET, unix.EPIPE} {
		t.Run("ends by "+unix.ErrnoName(errno), func(t *testing.T) {
			reads := injectError(0, errno)
			r := runLoop(t, func(k *kernel) { k.read = failingRead(reads) })
			c := r.dialClient()
			r.expectEcho(c, "before")
			reads.remaining.Store(1)
			_, _ = io.WriteString(c, "x")
			if err := <-r.closeErrs; !errors.Is(err, errno) {
				t.Errorf("closed with %v", err)
			}
		})
	}
}

// failingRead returns a read that fails on sockets as f says. Reads of the eventfd, whose buffer has 8 bytes, do not fail.
func failingRead(f *errorInjector) func(int, []byte) (int, error) {
	return func(fd int, b []byte) (int, error) {
		if len(b) > 8 {
			if err := f.nextError(); err != nil {
				return -1, err
			}
		}
		return unix.Read(fd, b)
	}
}

// failingWrite returns a write that fails on sockets as f says. Writes to the eventfd do not fail.
func failingWrite(f *errorInjector) func(int, []byte) (int, error) {
	return func(fd int, b []byte) (int, error) {
		if !bytes.Equal(b, []byte{1, 0, 0, 0, 0, 0, 0, 0}) {
			if err := f.nextError(); err != nil {
				return -1, err
			}
		}
		return unix.Write(fd, b)
	}
}

// TestReadErrorBeforeEndOfStream tests that a transient read error is reported as the cause if the end of the stream follows it.
// Otherwise a reset would be taken for an orderly close.
func TestReadErrorBeforeEndOfStream(t *testing.T) {
	reads := injectError(0, unix.ETIMEDOUT)
	r := runLoop(t, func(k *kernel) { k.read = failingRead(reads) })
	c := r.dialClient()
	r.expectEcho(c, "before")
	reads.remaining.Store(1)
	_ = c.Close()
	if err := <-r.closeErrs; !errors.Is(err, unix.ETIMEDOUT) {
		t.Errorf("closed with %v", err)
	}
}

// TestShortReadsAndWrites tests that nothing is lost or duplicated if each call transfers at most 8 bytes.
func TestShortReadsAndWrites(t *testing.T) {
	r := runLoop(t, func(k *kernel) {
		k.read = func(fd int, b []byte) (int, error) { return unix.Read(fd, b[:min(len(b), 8)]) }
		k.write = func(fd int, b []byte) (int, error) { return unix.Write(fd, b[:min(len(b), 8)]) }
	})
	r.expectEcho(r.dialClient(), string(bytes.Repeat([]byte("0123456789"), 1<<12)))
}

// TestPollerRejectsDescriptors tests that connections are served even if epoll_ctl fails for them.
func TestPollerRejectsDescriptors(t *testing.T) {
	f := injectError(0, unix.ENOSPC)
	r := runLoop(t, func(k *kernel) {
		k.epollCtl = func(epfd, op, fd int, e *unix.EpollEvent) error {
			if err := f.nextError(); err != nil {
				return err
			}
			return unix.EpollCtl(epfd, op, fd, e)
		}
	})
	f.remaining.Store(-1)
	c := r.dialClient()
	r.expectEcho(c, "never watched")
	r.expectEcho(c, string(bytes.Repeat([]byte("more than a socket takes "), 1<<17)))
	f.remaining.Store(0)
	r.expectEcho(c, "watched")
}

// TestPollerFails tests that connections are accepted and served without the poller while epoll_wait fails.
func TestPollerFails(t *testing.T) {
	for _, errno := range []unix.Errno{unix.EINTR, unix.EINVAL, unix.EBADF} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			f := injectError(0, errno)
			r := runLoop(t, func(k *kernel) {
				k.epollWait = func(epfd int, events []unix.EpollEvent, ms int) (int, error) {
					if err := f.nextError(); err != nil {
						return -1, err
					}
					return unix.EpollWait(epfd, events, ms)
				}
			})
			c := r.dialClient()
			r.expectEcho(c, "before")
			f.remaining.Store(-1)
			r.expectEcho(c, "meanwhile")
			r.expectEcho(r.dialClient(), "late")
			f.remaining.Store(0)
			r.expectEcho(c, "after")
		})
	}
}

// TestDialWhilePollerFails tests that a connection that is still being established is not taken for an open one.
func TestDialWhilePollerFails(t *testing.T) {
	polls, peers := injectError(0, unix.EINVAL), injectError(3, unix.ENOTCONN)
	r := runLoop(t, func(k *kernel) {
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
	d := &dialHandler{make(chan *Conn, 1), make(chan string, 1)}
	polls.remaining.Store(-1)
	r.runOnLoop(func() { r.Dial(peer.Addr().String(), 5000, d, func(err error) { t.Error(err) }) })
	select {
	case <-d.opened:
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
	f := injectError(0, unix.EIO)
	r := runLoop(t, func(k *kernel) {
		k.write = func(fd int, b []byte) (int, error) {
			if bytes.Equal(b, []byte{1, 0, 0, 0, 0, 0, 0, 0}) {
				if err := f.nextError(); err != nil {
					return -1, err
				}
			}
			return unix.Write(fd, b)
		}
	})
	r.runOnLoop(func() {})
	time.Sleep(10 * time.Millisecond) // lets the loop enter epoll_wait
	f.remaining.Store(3)
	r.runOnLoop(func() {})
	r.runOnLoop(func() {})
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
			f := injectError(0, c.err)
			r := runLoop(t, func(k *kernel) { k.failCall(c.call, f) })
			peer, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			d, failed := &dialHandler{make(chan *Conn, 1), make(chan string, 1)}, make(chan error, 1)
			f.remaining.Store(c.times)
			r.runOnLoop(func() { r.Dial(peer.Addr().String(), 5000, d, func(err error) { failed <- err }) })
			got := ""
			select {
			case <-d.opened:
				got = "up"
			case err := <-failed:
				if got = "remote"; IsLocal(err) {
					got = "local"
				}
				if !errors.Is(err, c.err) {
					t.Errorf("failed with %v", err)
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

// failCall makes one system call fail as f says.
func (k *kernel) failCall(call string, f *errorInjector) {
	original := *k
	switch call {
	case "socket":
		k.socket = func(domain, kind, protocol int) (int, error) {
			if err := f.nextError(); err != nil {
				return -1, err
			}
			return original.socket(domain, kind, protocol)
		}
	case "connect":
		k.connect = func(fd int, addr unix.Sockaddr) error {
			if err := f.nextError(); err != nil {
				return err
			}
			return original.connect(fd, addr)
		}
	case "setsockopt":
		k.setsockopt = func(fd, level, option, value int) error {
			if err := f.nextError(); err != nil {
				return err
			}
			return original.setsockopt(fd, level, option, value)
		}
	case "getsockopt":
		k.getsockopt = func(fd, level, option int) (int, error) {
			if err := f.nextError(); err != nil {
				return 0, err
			}
			return original.getsockopt(fd, level, option)
		}
	case "getsockname":
		k.getsockname = func(fd int) (syscall.Sockaddr, error) {
			if err := f.nextError(); err != nil {
				return nil, err
			}
			return original.getsockname(fd)
		}
	case "epoll_ctl":
		k.epollCtl = func(epfd, op, fd int, e *unix.EpollEvent) error {
			if err := f.nextError(); err != nil {
				return err
			}
			return original.epollCtl(epfd, op, fd, e)
		}
	}
}

// TestDialRefused tests that dialling an address on which nobody listens is reported as refused, and that dialling an invalid
// address fails; neither error is local.
func TestDialRefused(t *testing.T) {
	r := runLoop(t, func(*kernel) {})
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = peer.Close()
	failed := make(chan error, 1)
	r.runOnLoop(func() { r.Dial(peer.Addr().String(), 5000, &dialHandler{}, func(err error) { failed <- err }) })
	if err := <-failed; !errors.Is(err, unix.ECONNREFUSED) || IsLocal(err) {
		t.Errorf("failed with %v", err)
	}
	r.runOnLoop(func() { r.Dial("no address", 100, &dialHandler{}, func(err error) { failed <- err }) })
	if err := <-failed; IsLocal(err) {
		t.Errorf("failed with %v", err)
	}
}

// TestNoPendingInputInterrupted tests that interruptions of the system call do not change the result of NoPendingInput, unless
// every try is interrupted.
func TestNoPendingInputInterrupted(t *testing.T) {
	f := injectError(0, unix.EINTR)
	r := runLoop(t, func(k *kernel) {
		k.recvfrom = func(fd int, b []byte, flags int) (int, unix.Sockaddr, error) {
			if err := f.nextError(); err != nil {
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
	d := &dialHandler{make(chan *Conn, 1), make(chan string, 1)}
	r.runOnLoop(func() { r.Dial(peer.Addr().String(), 5000, d, func(err error) { t.Error(err) }) })
	c := <-d.opened
	for times, want := range map[int64]bool{0: true, immediateTries - 1: true, immediateTries: false} {
		r.runOnLoop(func() {
			f.remaining.Store(times)
			if got := c.NoPendingInput(); got != want {
				t.Errorf("after %d failures NoPendingInput is %v", times, got)
			}
		})
	}
}

// TestListenFails tests that transient failures at startup are retried, and that an invalid address is not.
func TestListenFails(t *testing.T) {
	for _, call := range []string{"socket", "setsockopt", "epoll_ctl"} {
		f := injectError(4, unix.ENOMEM)
		r := runLoop(t, func(k *kernel) { k.failCall(call, f) })
		r.expectEcho(r.dialClient(), "served")
	}
	l := New(clock.System(), slog.New(slog.DiscardHandler), nil, func() {})
	if err := l.Run("nowhere"); !errors.Is(err, errInvalidAddress) {
		t.Errorf("Run with an invalid address: %v", err)
	}
}
