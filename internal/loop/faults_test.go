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

// patience bounds every wait of a test; none depends on how soon something comes.
const patience = 20 * time.Second

// failing has a call fail n times; below 0, until it is set to 0.
type failing struct {
	left atomic.Int64
	err  error
}

func fail(n int64, err error) *failing {
	f := &failing{err: err}
	f.left.Store(n)
	return f
}

// next is the error of the next call.
func (f *failing) next() error {
	if left := f.left.Load(); left == 0 {
		return nil
	} else if left > 0 {
		f.left.Add(-1)
	}
	return f.err
}

// echo answers each client with what it sends and counts ends.
type echo struct {
	c      *Conn
	closed chan error
}

func (e *echo) Opened(c *Conn)   { e.c = c }
func (e *echo) Data(b []byte)    { _ = e.c.Write(b) }
func (e *echo) Closed(err error) { e.closed <- err }

// running is a loop that echoes, with some system calls replaced.
type running struct {
	*Loop
	t      *testing.T
	closed chan error // of connections
	done   chan error // of the loop
}

func run(t *testing.T, change func(*kernel)) *running {
	t.Helper()
	r := &running{t: t, closed: make(chan error, 99), done: make(chan error, 1)}
	r.Loop = New(clock.System(), slog.New(slog.DiscardHandler), func() Handler { return &echo{closed: r.closed} }, func() {})
	change(r.kernel)
	ready := make(chan struct{})
	r.OnReady = func() { close(ready) }
	go func() { r.done <- r.Run("127.0.0.1:0") }()
	select {
	case <-ready:
	case err := <-r.done:
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.Shutdown()
		if err := <-r.done; err != nil {
			t.Error(err)
		}
	})
	return r
}

func (r *running) client() net.Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.Addr())
	if err != nil {
		r.t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(patience))
	r.t.Cleanup(func() { _ = c.Close() })
	return c
}

// echoes sends and wants the same back.
func (r *running) echoes(c net.Conn, text string) {
	r.t.Helper()
	go func() { _, _ = io.WriteString(c, text) }()
	got := make([]byte, len(text))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != text {
		r.t.Fatalf("got %.40q, want %.40q: %v", got, text, err)
	}
}

// onLoop runs f on the loop and waits for it.
func (r *running) onLoop(f func()) {
	done := make(chan struct{})
	r.Post(func() { f(); close(done) })
	<-done
}

// TestAcceptFails: clients whose connections cannot be accepted now are accepted later, and none that stands is lost.
func TestAcceptFails(t *testing.T) {
	for _, no := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.EPERM, unix.EINTR,
		unix.ECONNABORTED, unix.ENETDOWN, unix.EHOSTUNREACH, unix.ENOSYS} {
		for _, times := range []int64{1, 5} {
			t.Run(fmt.Sprint(unix.ErrnoName(no), times), func(t *testing.T) {
				f := fail(0, no)
				r := run(t, func(k *kernel) {
					k.accept4 = func(fd, flags int) (int, syscall.Sockaddr, error) {
						if err := f.next(); err != nil {
							return -1, nil, err
						}
						return syscall.Accept4(fd, flags)
					}
				})
				asked := 0
				r.onLoop(func() { r.OnDescriptorsExhausted = func() bool { asked++; return false } })
				standing := r.client()
				r.echoes(standing, "before")
				f.left.Store(times)
				r.echoes(r.client(), "late")
				r.echoes(standing, "after")
				if got := r.Metrics().Value(metrics.SyscallErrors, "accept4."+unix.ErrnoName(no)); got != times {
					t.Errorf("counted %d failures, want %d", got, times)
				}
				r.onLoop(func() {
					if want := no == unix.EMFILE || no == unix.ENFILE; (asked > 0) != want || r.AcceptPaused() {
						t.Errorf("asked %d times for room, backlog %v", asked, r.AcceptPaused())
					}
				})
			})
		}
	}
}

// TestExhaustedMakesRoom: out of descriptors, the loop has somebody make room and accepts at once.
func TestExhaustedMakesRoom(t *testing.T) {
	f := fail(1, unix.EMFILE)
	r := run(t, func(k *kernel) {
		k.accept4 = func(fd, flags int) (int, syscall.Sockaddr, error) {
			if err := f.next(); err != nil {
				return -1, nil, err
			}
			return syscall.Accept4(fd, flags)
		}
	})
	made := make(chan bool, 9)
	r.onLoop(func() {
		r.OnDescriptorsExhausted = func() bool {
			made <- true
			return true
		}
	})
	r.echoes(r.client(), "served")
	r.onLoop(func() {
		if len(made) != 1 || r.listener.tries.sinceMs != 0 {
			t.Errorf("room was made %d times", len(made))
		}
	})
}

// TestReadAndWriteFail: a read or write that fails for a moment is done again, and nothing is lost or doubled. One that names the
// connection's end ends it.
func TestReadAndWriteFail(t *testing.T) {
	for _, no := range []unix.Errno{unix.EINTR, unix.ENOBUFS, unix.ENOMEM, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.EIO} {
		for _, times := range []int64{1, 5} {
			t.Run(fmt.Sprint(unix.ErrnoName(no), times), func(t *testing.T) {
				reads, writes := fail(0, no), fail(0, no)
				r := run(t, func(k *kernel) { k.read, k.write = reading(reads), writing(writes) })
				c := r.client()
				r.echoes(c, "before")
				reads.left.Store(times)
				r.echoes(c, "while reads fail")
				writes.left.Store(times)
				r.echoes(c, "while writes fail")
				reads.left.Store(times)
				writes.left.Store(times)
				r.echoes(c, string(bytes.Repeat([]byte("both "), 1<<16)))
				if len(r.closed) > 0 {
					t.Errorf("closed: %v", <-r.closed)
				}
			})
		}
	}
	for _, no := range []unix.Errno{unix.ECONNRESET, unix.EPIPE} {
		t.Run("ends by "+unix.ErrnoName(no), func(t *testing.T) {
			reads := fail(0, no)
			r := run(t, func(k *kernel) { k.read = reading(reads) })
			c := r.client()
			r.echoes(c, "before")
			reads.left.Store(1)
			_, _ = io.WriteString(c, "x")
			if err := <-r.closed; !errors.Is(err, no) {
				t.Errorf("closed with %v", err)
			}
		})
	}
}

// reading makes a read that fails on sockets when f says so; the loop's own wake-ups have 8 bytes.
func reading(f *failing) func(int, []byte) (int, error) {
	return func(fd int, b []byte) (int, error) {
		if len(b) > 8 {
			if err := f.next(); err != nil {
				return -1, err
			}
		}
		return unix.Read(fd, b)
	}
}

// writing makes a write that fails on sockets when f says so.
func writing(f *failing) func(int, []byte) (int, error) {
	return func(fd int, b []byte) (int, error) {
		if !bytes.Equal(b, []byte{1, 0, 0, 0, 0, 0, 0, 0}) {
			if err := f.next(); err != nil {
				return -1, err
			}
		}
		return unix.Write(fd, b)
	}
}

// TestErrorBeforeTheEnd: an error that says nothing for good is told as the end's cause when the end follows it; otherwise a reset
// would pass for an orderly end.
func TestErrorBeforeTheEnd(t *testing.T) {
	reads := fail(0, unix.ETIMEDOUT)
	r := run(t, func(k *kernel) { k.read = reading(reads) })
	c := r.client()
	r.echoes(c, "before")
	reads.left.Store(1)
	_ = c.Close()
	if err := <-r.closed; !errors.Is(err, unix.ETIMEDOUT) {
		t.Errorf("closed with %v", err)
	}
}

// TestShortReadsAndWrites: one byte at a time, nothing is lost or doubled.
func TestShortReadsAndWrites(t *testing.T) {
	r := run(t, func(k *kernel) {
		k.read = func(fd int, b []byte) (int, error) { return unix.Read(fd, b[:min(len(b), 8)]) }
		k.write = func(fd int, b []byte) (int, error) { return unix.Write(fd, b[:min(len(b), 8)]) }
	})
	r.echoes(r.client(), string(bytes.Repeat([]byte("0123456789"), 1<<12)))
}

// TestPollerRefuses: connections that the poller does not take are served all the same.
func TestPollerRefuses(t *testing.T) {
	f := fail(0, unix.ENOSPC)
	r := run(t, func(k *kernel) {
		k.epollCtl = func(epfd, op, fd int, e *unix.EpollEvent) error {
			if err := f.next(); err != nil {
				return err
			}
			return unix.EpollCtl(epfd, op, fd, e)
		}
	})
	f.left.Store(-1)
	c := r.client()
	r.echoes(c, "never watched")
	r.echoes(c, string(bytes.Repeat([]byte("more than a socket takes "), 1<<17)))
	f.left.Store(0)
	r.echoes(c, "watched")
}

// TestPollerFails: while the poller fails, connections are accepted and served without it.
func TestPollerFails(t *testing.T) {
	for _, no := range []unix.Errno{unix.EINTR, unix.EINVAL, unix.EBADF} {
		t.Run(unix.ErrnoName(no), func(t *testing.T) {
			f := fail(0, no)
			r := run(t, func(k *kernel) {
				k.epollWait = func(epfd int, events []unix.EpollEvent, ms int) (int, error) {
					if err := f.next(); err != nil {
						return -1, err
					}
					return unix.EpollWait(epfd, events, ms)
				}
			})
			c := r.client()
			r.echoes(c, "before")
			f.left.Store(-1)
			r.echoes(c, "meanwhile")
			r.echoes(r.client(), "late")
			f.left.Store(0)
			r.echoes(c, "after")
		})
	}
}

// TestDialWhileThePollerFails: a connection that is still under way does not pass for one that has come up.
func TestDialWhileThePollerFails(t *testing.T) {
	polls, peers := fail(0, unix.EINVAL), fail(3, unix.ENOTCONN)
	r := run(t, func(k *kernel) {
		k.epollWait = func(epfd int, events []unix.EpollEvent, ms int) (int, error) {
			if err := polls.next(); err != nil {
				return -1, err
			}
			return unix.EpollWait(epfd, events, ms)
		}
		k.getpeername = func(fd int) (syscall.Sockaddr, error) {
			if err := peers.next(); err != nil {
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
	d := &dialled{make(chan *Conn, 1), make(chan string, 1)}
	polls.left.Store(-1)
	r.onLoop(func() { r.Dial(peer.Addr().String(), 5000, d, func(err error) { t.Error(err) }) })
	select {
	case <-d.opened:
	case <-time.After(patience):
		t.Fatal("it is never told as up")
	}
	if left := peers.left.Load(); left != 0 {
		t.Errorf("told as up while the system said %d times more that it is not", left)
	}
	polls.left.Store(0)
}

// TestWakeFails: a posted function runs although the write that wakes the loop for it fails.
func TestWakeFails(t *testing.T) {
	f := fail(0, unix.EIO)
	r := run(t, func(k *kernel) {
		k.write = func(fd int, b []byte) (int, error) {
			if bytes.Equal(b, []byte{1, 0, 0, 0, 0, 0, 0, 0}) {
				if err := f.next(); err != nil {
					return -1, err
				}
			}
			return unix.Write(fd, b)
		}
	})
	r.onLoop(func() {})
	time.Sleep(10 * time.Millisecond) // so that the loop waits
	f.left.Store(3)
	r.onLoop(func() {})
	r.onLoop(func() {})
}

// dialled tells how a connection came up.
type dialled struct {
	opened chan *Conn
	data   chan string
}

func (d *dialled) Opened(c *Conn) { d.opened <- c }
func (d *dialled) Data(b []byte)  { d.data <- string(b) }
func (d *dialled) Closed(error)   {}

// TestDialFails: what is short on this machine is told as local; what the network or the other side says is not. What fails beside
// the connection itself does not keep it from coming up.
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
			f := fail(0, c.err)
			r := run(t, func(k *kernel) { k.breakCall(c.call, f) })
			peer, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			d, failed := &dialled{make(chan *Conn, 1), make(chan string, 1)}, make(chan error, 1)
			f.left.Store(c.times)
			r.onLoop(func() { r.Dial(peer.Addr().String(), 5000, d, func(err error) { failed <- err }) })
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
			case <-time.After(patience):
				t.Fatal("nothing is told")
			}
			if got != c.want {
				t.Errorf("it was told as %s, want %s", got, c.want)
			}
		})
	}
}

// breakCall has one call fail when f says so.
func (k *kernel) breakCall(call string, f *failing) {
	real := *k
	switch call {
	case "socket":
		k.socket = func(domain, kind, protocol int) (int, error) {
			if err := f.next(); err != nil {
				return -1, err
			}
			return real.socket(domain, kind, protocol)
		}
	case "connect":
		k.connect = func(fd int, addr unix.Sockaddr) error {
			if err := f.next(); err != nil {
				return err
			}
			return real.connect(fd, addr)
		}
	case "setsockopt":
		k.setsockopt = func(fd, level, option, value int) error {
			if err := f.next(); err != nil {
				return err
			}
			return real.setsockopt(fd, level, option, value)
		}
	case "getsockopt":
		k.getsockopt = func(fd, level, option int) (int, error) {
			if err := f.next(); err != nil {
				return 0, err
			}
			return real.getsockopt(fd, level, option)
		}
	case "getsockname":
		k.getsockname = func(fd int) (syscall.Sockaddr, error) {
			if err := f.next(); err != nil {
				return nil, err
			}
			return real.getsockname(fd)
		}
	case "epoll_ctl":
		k.epollCtl = func(epfd, op, fd int, e *unix.EpollEvent) error {
			if err := f.next(); err != nil {
				return err
			}
			return real.epollCtl(epfd, op, fd, e)
		}
	}
}

// TestDialNobody: an address where nobody listens is told as refused, and one that never answers as timed out; neither is local.
func TestDialNobody(t *testing.T) {
	r := run(t, func(*kernel) {})
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = peer.Close()
	failed := make(chan error, 1)
	r.onLoop(func() { r.Dial(peer.Addr().String(), 5000, &dialled{}, func(err error) { failed <- err }) })
	if err := <-failed; !errors.Is(err, unix.ECONNREFUSED) || IsLocal(err) {
		t.Errorf("failed with %v", err)
	}
	r.onLoop(func() { r.Dial("no address", 100, &dialled{}, func(err error) { failed <- err }) })
	if err := <-failed; IsLocal(err) {
		t.Errorf("failed with %v", err)
	}
}

// TestQuietInterrupted: a look at a connection that is interrupted says what it would have said.
func TestQuietInterrupted(t *testing.T) {
	f := fail(0, unix.EINTR)
	r := run(t, func(k *kernel) {
		k.recvfrom = func(fd int, b []byte, flags int) (int, unix.Sockaddr, error) {
			if err := f.next(); err != nil {
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
	d := &dialled{make(chan *Conn, 1), make(chan string, 1)}
	r.onLoop(func() { r.Dial(peer.Addr().String(), 5000, d, func(err error) { t.Error(err) }) })
	c := <-d.opened
	for times, want := range map[int64]bool{0: true, fewRepeats - 1: true, fewRepeats: false} {
		r.onLoop(func() {
			f.left.Store(times)
			if got := c.NoPendingInput(); got != want {
				t.Errorf("after %d failures quiet is %v", times, got)
			}
		})
	}
}

// TestListenFails: what fails for a moment at the start is tried again; an address that cannot be read is not.
func TestListenFails(t *testing.T) {
	for _, call := range []string{"socket", "setsockopt", "epoll_ctl"} {
		f := fail(4, unix.ENOMEM)
		r := run(t, func(k *kernel) { k.breakCall(call, f) })
		r.echoes(r.client(), "served")
	}
	l := New(clock.System(), slog.New(slog.DiscardHandler), nil, func() {})
	if err := l.Run("nowhere"); !errors.Is(err, errAddress) {
		t.Errorf("listens on nowhere: %v", err)
	}
}
