// Package loop is the program's event loop, on one goroutine. It owns all state: accepted and dialled connections, posted
// functions and deadlines all run on it, one at a time, so nothing needs a lock.
//
// A failing system call never ends the loop, nor a connection that may still be sound: see the table in errno.go. Once it serves,
// the loop ends when Shutdown is called, and for no other reason.
package loop

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"beechgrade/internal/clock"
	"beechgrade/internal/deadline"
	"beechgrade/internal/metrics"
	"beechgrade/internal/slots"
)

// Handler is told of one connection. Data is valid during the call only.
type Handler interface {
	Opened(c *Conn)
	Data(b []byte)
	Closed(err error)
}

// unpolledMs is the time between two looks at all connections while the poller fails.
const unpolledMs = 10

// readSize is how many bytes one read takes at most.
const readSize = 1 << 16

// Loop is the event loop. Now, At, StopTimer and Conn's methods are for functions that run on it; Post may be called from
// anywhere.
type Loop struct {
	// OnReady, if it is set before Run, runs on the loop once it serves.
	OnReady func()
	// OnDescriptorsExhausted, if it is set before Run, is called when the process has no descriptor left. It may close
	// connections, and reports whether it did.
	OnDescriptorsExhausted func() bool

	clk     clock.Clock
	log     *slog.Logger
	kernel  *kernel
	accept  func() Handler
	start   func()
	metrics *metrics.Set

	poller   *poller
	listener listener
	heap     deadline.Heap
	conns    slots.Table[*Conn]
	made     uint64 // connections so far
	buffer   []byte // for reads
	polling  backoff
	said     map[string]float64 // when a kind of failure was logged last
	ending   bool

	told       float64 // when the poller told all that had happened by then...
	toldBefore float64 // ...and the time before that

	mu     sync.Mutex
	posted []func()
	awake  bool // it has been woken for what is posted, or will look by itself
	over   bool // it has ended
}

// New makes a loop. accept makes the handler of each accepted connection; start runs on the loop before
// anything else.
func New(clk clock.Clock, log *slog.Logger, accept func() Handler, start func()) *Loop {
	return &Loop{clk: clk, log: log, kernel: linux(), accept: accept, start: start, metrics: metrics.New(),
		buffer: make([]byte, readSize), said: map[string]float64{}, awake: true}
}

// Metrics is the counters of the pooler that runs on this loop.
func (l *Loop) Metrics() *metrics.Set { return l.metrics }

// Run listens on addr and serves until Shutdown. It returns an error if it cannot begin to serve.
func (l *Loop) Run(addr string) error {
	if err := l.open(addr); err != nil {
		return err
	}
	defer l.shut()
	l.told = l.Now()
	l.toldBefore = l.told
	l.start()
	if l.OnReady != nil {
		l.OnReady()
	}
	l.turn()
	for !l.ending {
		events, err := l.poller.wait(l.waitMs())
		if err != nil {
			l.unpolled(err)
			continue
		}
		l.polling.reset()
		if len(events) < eventsAtOnce {
			l.toldBefore, l.told = l.told, l.Now()
		}
		for i := range events {
			l.happened(&events[i])
			l.turn()
		}
		l.turn()
	}
	l.listener.close(l)
	l.conns.Each(func(_ slots.Ref, c *Conn) { c.Close(closeEnd) })
	return nil
}

// shut lets go of the poller. What is posted from now on goes nowhere.
func (l *Loop) shut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.over = true
	l.poller.close()
}

// open begins to listen. What fails for a moment is tried again for some seconds: nobody else starts the process anew.
func (l *Loop) open(addr string) error {
	var tries backoff
	for {
		err := l.openOnce(addr)
		if err == nil {
			return nil
		}
		now := l.Now()
		if errors.Is(err, errAddress) || tries.enduring(now) {
			return fmt.Errorf("listen: %w", err)
		}
		l.failed("listen", err)
		time.Sleep(clock.Duration(tries.next(now)))
	}
}

func (l *Loop) openOnce(addr string) error {
	var err error
	if l.poller == nil {
		if l.poller, err = openPoller(l.kernel); err != nil {
			return err
		}
	}
	return l.listener.open(l, addr)
}

// unpolled handles a wait that has failed. While that lasts, connections are read and written without the poller.
func (l *Loop) unpolled(err error) {
	first := l.polling.sinceMs == 0
	pauseMs := l.polling.next(l.Now())
	if errors.Is(err, unix.EINTR) && first { // by a signal
		l.turn()
		return
	}
	l.failed("epoll_wait", err)
	l.toldBefore, l.told = l.told, l.Now()
	time.Sleep(clock.Duration(min(pauseMs, unpolledMs)))
	l.listener.ready(l)
	l.conns.Each(func(_ slots.Ref, c *Conn) {
		c.tryAgain()
		l.turn()
	})
	l.turn()
}

// happened carries out one event.
func (l *Loop) happened(e *unix.EpollEvent) {
	switch ref := refOf(e); ref {
	case wakeRef:
		if err := l.poller.woken(); err != nil {
			l.failed("read", err)
		}
	case listenRef:
		l.listener.ready(l)
	default:
		if c, ok := l.conns.Get(ref); ok {
			c.happened(e.Events)
		}
	}
}

// waitMs is how long the poller may wait: until the next deadline, rounded up.
func (l *Loop) waitMs() int {
	if l.ending {
		return 0
	}
	at, ok := l.heap.Next()
	if !ok {
		return -1
	}
	return int(min(max(0, math.Ceil(at-l.clk.Now())), math.MaxInt32))
}

// turn runs what is posted and what is due. It runs between callbacks, never inside one.
func (l *Loop) turn() {
	for _, f := range l.takePosted() {
		f()
	}
	l.heap.Run(l.clk.Now())
}

func (l *Loop) takePosted() []func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	posted := l.posted
	l.posted, l.awake = nil, false
	return posted
}

// Post runs f on the loop. It may be called from any goroutine.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		return
	}
	l.posted = append(l.posted, f)
	if !l.awake {
		l.awake = true
		l.wake()
	}
}

// wake ends the poller's wait. A wake-up that fails is tried until the loop has seen what is posted. It is called with the lock,
// as the descriptor that it writes to is closed under it.
func (l *Loop) wake() {
	err := l.poller.wake()
	if err == nil {
		return
	}
	l.metrics.Add(metrics.SyscallErrors, "eventfd_write."+errnoName(err))
	time.AfterFunc(clock.Duration(firstPauseMs), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.awake && !l.over {
			l.wake()
		}
	})
}

// Shutdown stops the loop; Run returns.
func (l *Loop) Shutdown() { l.Post(func() { l.ending = true }) }

// Addr is the address that the loop listens on, with its port where any was asked for.
func (l *Loop) Addr() string { return l.listener.addr }

// AcceptPaused reports whether clients may be waiting to be accepted because accepting has failed.
func (l *Loop) AcceptPaused() bool { return l.listener.paused }

// staleMs is how long ago the poller may have been asked last: less than 100 ms, after which no attempt may begin for a client
// that has gone.
const staleMs = 50

// PollOverdue reports whether the loop was held up, or idle, for so long that a client may have gone unnoticed.
func (l *Loop) PollOverdue() bool { return l.Now()-l.toldBefore > staleMs }

// Now is the time in milliseconds.
func (l *Loop) Now() float64 { return l.clk.Now() }

// At runs f on the loop at the given time.
func (l *Loop) At(ms float64, f func()) *deadline.Timer { return l.heap.Add(ms, f) }

// StopTimer removes a timer.
func (l *Loop) StopTimer(t *deadline.Timer) { l.heap.Stop(t) }
