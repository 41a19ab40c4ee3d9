package backend

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"beechgrade/internal/pgwire"
	"beechgrade/internal/slots"
)

// inconsistency describes how the pool's records contradict each other, or returns "".
func (p *Pool) inconsistency() string {
	opening, idleConns := map[*server]int{}, map[*conn]bool{}
	text := ""
	p.conns.Each(func(_ slots.Ref, c *conn) {
		switch {
		case c.state == dialing || c.state == startingUp:
			opening[c.server]++
		case c.state == idle:
			idleConns[c] = true
		case c.state == closed:
			text = "a closed connection still counts"
		case c.attempt == nil || c.attempt.conn != c:
			text = "a busy connection has no attempt"
		}
	})
	for _, s := range p.servers {
		if s.dialing != opening[s] {
			text = fmt.Sprintf("%d connections are being opened, and %d are counted", opening[s], s.dialing)
		}
		for _, c := range s.idle {
			if !idleConns[c] {
				text = fmt.Sprintf("a connection in state %d is among the idle ones, or twice", c.state)
			}
			delete(idleConns, c)
		}
		for _, a := range s.waiting {
			if _, ok := p.attempts.Get(a.ref); !ok || a.conn != nil {
				text = "an attempt that has ended or been sent still waits"
			}
		}
	}
	for c := range idleConns {
		if p.servers[c.server.id] == c.server {
			text = "an idle connection is not among the idle ones"
		}
	}
	if n := p.conns.Len(); n > p.opt.MaxConns() {
		text = fmt.Sprintf("%d connections, and %d are allowed", n, p.opt.MaxConns())
	}
	return text
}

// busyRouter is a receiver of events that calls the pool from within its methods in random ways, as the router and the clients'
// side do, and checks the pool's records each time.
type busyRouter struct {
	t       *testing.T
	rng     *rand.Rand
	pool    *Pool
	now     func() float64
	refs    []slots.Ref // by attempt number
	ended   map[int]int // how often the end of each attempt was reported
	servers []string
	limit   int // number of attempts to start
}

func (r *busyRouter) AppendQuery(dst []byte, _ int) []byte { return pgwire.AppendQuery(dst, "query") }
func (r *busyRouter) ProbeEnded(string, Outcome)           { r.check("ProbeEnded") }

func (r *busyRouter) AttemptEnded(id AttemptID, _ Outcome) {
	r.check("AttemptEnded")
	r.ended[id.Number]++
	r.act()
}

func (r *busyRouter) BeforeSend(id AttemptID, _ float64) (int, bool) {
	r.check("BeforeSend")
	if r.rng.IntN(4) > 0 {
		return 1, true
	}
	if r.rng.IntN(2) == 0 && id.Number < len(r.refs) {
		r.pool.CancelUnsentAttempt(r.refs[id.Number])
	}
	return 0, false
}

// check reports records that contradict each other while the pool waits for the given method to return.
func (r *busyRouter) check(method string) {
	if text := r.pool.inconsistency(); text != "" {
		r.t.Errorf("within %s: %s", method, text)
	}
}

// act calls a random method of the pool.
func (r *busyRouter) act() {
	serverID := r.servers[r.rng.IntN(len(r.servers))]
	switch r.rng.IntN(8) {
	case 0:
		r.pool.CloseOldestIdle()
	case 1:
		r.pool.Probe(serverID)
	case 2:
		if n := len(r.refs); n > 0 {
			r.pool.CancelAttempt(r.refs[r.rng.IntN(n)])
		}
	default:
		r.start(serverID)
	}
}

// start starts an attempt, some of them with little time.
func (r *busyRouter) start(serverID string) {
	number := len(r.refs)
	if number >= r.limit {
		return
	}
	r.refs = append(r.refs, slots.Ref{})
	timeoutAt, sendDeadline := r.now()+float64(r.rng.IntN(300)), math.Inf(1)
	if r.rng.IntN(3) == 0 {
		sendDeadline = r.now() + float64(r.rng.IntN(20))
	}
	r.refs[number] = r.pool.StartAttempt(serverID, r, timeoutAt, sendDeadline, r.rng.IntN(2) == 0, AttemptID{Number: number})
}

// serveAtRandom answers the queries on one connection of a server, or spoils, delays or closes it. It reads and writes only.
func serveAtRandom(conn net.Conn, rng *rand.Rand) {
	defer conn.Close()
	buf := make([]byte, 9999)
	reply := pgwire.AppendStartupReply(nil)
	for {
		if _, err := conn.Read(buf); err != nil {
			return
		}
		switch rng.IntN(10) {
		case 0:
			return
		case 1:
			reply = append(reply, "noise"...)
		case 2:
			time.Sleep(time.Duration(rng.IntN(5)) * time.Millisecond)
		}
		if _, err := conn.Write(reply); err != nil {
			return
		}
		reply = successfulAnswer()
	}
}

// listenAtRandom starts a server whose connections serveAtRandom serves.
func listenAtRandom(t *testing.T, seed uint64) string {
	server := listen(t)
	go func() {
		for n := uint64(0); ; n++ {
			conn, err := server.Accept()
			if err != nil {
				return
			}
			go serveAtRandom(conn, rand.New(rand.NewPCG(seed, n)))
		}
	}()
	return server.Addr().String()
}

// TestRecordsAreConsistentDuringCallbacks guards against a connection or an attempt that is half changed while a call to the
// receiver of events is out, in whatever state the connection is: that call may start, cancel and end attempts and close idle
// connections. Each attempt has to end exactly once, and the limit of connections holds. The seeds vary the limit and the calls.
func TestRecordsAreConsistentDuringCallbacks(t *testing.T) {
	for seed := uint64(1); seed <= 8; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			rng, pauses := rand.New(rand.NewPCG(seed, 0)), rand.New(rand.NewPCG(seed, 1))
			router := &busyRouter{t: t, rng: rng, ended: map[int]int{}, servers: []string{"s", "t", "u"}, limit: 1500}
			opt := options()
			maxConns := 1 + int(seed)%5
			opt.MaxConns, opt.ConnectTimeoutMs, opt.IdleTimeoutMs = func() int { return maxConns }, 40, 90
			tp := newTestPool(t, router, opt)
			router.pool, router.now = tp.pool, func() float64 { return tp.clk.Ms }
			addrs := []string{listenAtRandom(t, seed), listenAtRandom(t, seed+100), "127.0.0.1:1"}
			change := func() {
				serverID := router.servers[rng.IntN(len(router.servers))]
				switch rng.IntN(20) {
				case 0:
					tp.pool.Drain(serverID)
				case 1:
					tp.pool.Remove(serverID)
				default:
					tp.pool.SetAddress(serverID, addrs[rng.IntN(len(addrs)*4)%len(addrs)])
					router.start(serverID)
				}
				tp.pool.idleTimeout.limitMs = []float64{0, 10, math.Inf(1)}[rng.IntN(3)]
				tp.clk.Ms += float64(rng.IntN(4))
				router.check("no call")
			}
			for started := 0; started < router.limit && !t.Failed(); {
				tp.runOnLoop(func() { change(); started = len(router.refs) })
				time.Sleep(time.Duration(pauses.IntN(200)) * time.Microsecond)
			}
			tp.waitUntil(func() bool {
				tp.clk.Ms += 100
				return tp.pool.attempts.Len() == 0
			})
			tp.runOnLoop(func() {
				for number := range router.refs {
					if n := router.ended[number]; n != 1 {
						t.Errorf("attempt %d ended %d times, want once", number, n)
					}
				}
			})
		})
	}
}
