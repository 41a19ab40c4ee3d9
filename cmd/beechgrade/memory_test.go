package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"beechgrade/internal/pgwire"
)

const (
	// crowdMemoryMB is the smallest memory limit of a pooler.
	crowdMemoryMB = 32
	// crowdSockets is the descriptor limit of the pooler.
	crowdSockets = 1024
	// largeValueBytes is the largest value of a request.
	largeValueBytes = 64 << 10
)

// crowd is a number of clients that connect at once.
type crowd struct {
	name     string
	size     int
	requests int // number of complete requests that each client sends, all of which need an answer
	unread   bool
	send     func(c net.Conn, client int)
}

// largeWrite returns a write with a value of largeValueBytes.
func largeWrite(client, n int) []byte {
	return pgwire.AppendQuery(nil, fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('k', '\\x%s') RETURNING content"+
		" /* id=large%d-%d,c=write,d=2900,cluster=0 */", strings.Repeat("00", largeValueBytes), client, n))
}

// sendSlowly sends b in pieces of the given length, with pauses.
func sendSlowly(c net.Conn, b []byte, piece int) {
	for len(b) > 0 {
		n := min(piece, len(b))
		if _, err := c.Write(b[:n]); err != nil {
			return
		}
		b = b[n:]
		time.Sleep(20 * time.Millisecond)
	}
}

var crowds = []crowd{
	{name: "stop half way", size: 600, send: func(c net.Conn, client int) { _, _ = c.Write(largeWrite(client, 0)[:100<<10]) }},
	{name: "write slowly", size: 600, requests: 1, send: func(c net.Conn, client int) { sendSlowly(c, largeWrite(client, 0), 4<<10) }},
	{name: "many fields", size: 300, requests: 2, send: func(c net.Conn, client int) {
		for n := range 2 {
			_, _ = c.Write(pgwire.AppendQuery(nil, fmt.Sprintf("SELECT content FROM kv /* %sid=f%d-%d,c=read,d=2000,cluster=0 */",
				strings.Repeat("a=1,", 30<<10), client, n)))
		}
	}},
	{name: "large requests", size: 300, requests: 4, send: func(c net.Conn, client int) {
		for n := range 4 {
			_, _ = c.Write(largeWrite(client, n))
		}
	}},
	{name: "answers that nobody reads", size: 100, unread: true, send: func(c net.Conn, client int) {
		for n := range 16 {
			_, _ = c.Write(pgwire.AppendQuery(nil, fmt.Sprintf("SELECT content FROM kv WHERE name = 'large'"+
				" /* id=u%d-%d,c=read,d=2900,cluster=0 */", client, n)))
		}
	}},
	{name: "small requests ahead", size: 400, send: func(c net.Conn, client int) {
		var b []byte
		for n := range 1000 {
			b = append(b, query(fmt.Sprintf("p%d-%d", client, n), "read", 2000)...)
		}
		_, _ = c.Write(b)
	}},
}

// run connects as one client, sends what the crowd sends and returns how many of its requests had no answer within the time
// limit.
func (crowd crowd) run(t *testing.T, addr string, client int) (unanswered int) {
	conn, err := net.DialTimeout("tcp", addr, testTimeout)
	if err != nil {
		return 0
	}
	defer conn.Close()
	c := newPeer(t, conn)
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	c.send(pgwire.AppendStartup(nil, "backend", "store"))
	if crowd.unread {
		crowd.send(conn, client)
		time.Sleep(2 * time.Second)
		return 0
	}
	if answer := c.readAnswer(); answer != "RSSSSZ" { // turned away
		return 0
	}
	go crowd.send(conn, client)
	for n := range crowd.requests {
		if answer := c.readAnswer(); strings.Contains(answer, "$") && !strings.Contains(answer, "E") {
			return crowd.requests - n
		}
	}
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, _ = io.Copy(io.Discard, c.in)
	return 0
}

// startupOfManyFields returns a startup message of 10,000 bytes.
func startupOfManyFields() []byte {
	b := append([]byte{0, 0, 0x27, 0x10, 0, 3, 0, 0}, bytes.Repeat([]byte("a\x00b\x00"), 2497)...)
	return append(b, 0, 0, 0, 0)
}

// TestStartupOfManyFields tests that a long startup message is accepted, although little of it is kept in memory, and that a
// request right behind it is served.
func TestStartupOfManyFields(t *testing.T) {
	addr, queries := startServer(t)
	go answerAll(queries)
	poolerAddr, _, _ := start(t, addr, nil)
	client := dial(t, poolerAddr)
	input := append(startupOfManyFields(), query("1", "read", 9000)...)
	for len(input) > 0 {
		n := min(999, len(input))
		client.send(input[:n])
		input = input[n:]
	}
	client.wantAnswer("RSSSSZ")
	client.wantAnswer("TDCZ v")
}

// limitMemory sets the limits in the configuration of a process to those of a small pooler.
var limitMemory = changeLimits(map[string]any{"cores": 1.0, "memory_mb": crowdMemoryMB, "sockets": crowdSockets})

// answerWithValues is like answerAll, but queries for the key 'large' are answered with a value of largeValueBytes.
func answerWithValues(queries <-chan receivedQuery) {
	large, small := row(strings.Repeat("v", largeValueBytes)), row("v")
	for q := range queries {
		answer := small
		if strings.Contains(q.sql, "'large'") {
			answer = large
		}
		if q.sql != "(gone)" {
			time.AfterFunc(10*time.Millisecond, func() { q.send(answer) })
		}
	}
}

// TestMemoryBesideCrowds guards against a process that goes over its memory limit, or that closes connections whose requests it
// has read, while hundreds of clients write slowly, stop half way through a large request, or send very many fields. Other
// clients must get their answers in time meanwhile.
func TestMemoryBesideCrowds(t *testing.T) {
	for _, crowd := range crowds {
		t.Run(crowd.name, func(t *testing.T) {
			addr, queries := startServer(t)
			go answerWithValues(queries)
			p := startProcess(t, addr, limitMemory)
			var clients sync.WaitGroup
			var unanswered atomic.Int64
			for n := range crowd.size {
				clients.Go(func() { unanswered.Add(int64(crowd.run(t, p.addr, n))) })
			}
			time.Sleep(100 * time.Millisecond)
			answers := sendUsualRequests(t, p.addr)
			clients.Wait()
			p.wantRunning()
			wantUsualAnswers(t, answers)
			p.wantMemoryInLimit()
			if n := unanswered.Load(); n > 0 {
				t.Errorf("%d of %d requests have no answer", n, crowd.size*crowd.requests)
			}
		})
	}
}

// wantMemoryInLimit fails the test if the process has used more than its memory limit.
func (p *process) wantMemoryInLimit() {
	p.t.Helper()
	if peak := p.peakMemoryKB(); peak > p.memoryLimitKB() {
		p.t.Errorf("the process has used %d kB, want at most %d kB", peak, p.memoryLimitKB())
	} else {
		p.t.Logf("the process has used %d of %d kB", peak, p.memoryLimitKB())
	}
}

// TestLargeRequestsDuringPauseAreAnswered guards against closing connections whose requests are whole in the sockets when the
// process goes on after a pause, and which together need more memory than clients may hold.
func TestLargeRequestsDuringPauseAreAnswered(t *testing.T) {
	const requests = 40
	addr, queries := startServer(t)
	go answerAll(queries)
	p := startProcess(t, addr, limitMemory)
	var clients []*peer
	for range requests {
		clients = append(clients, connect(t, p.addr))
	}
	p.pause()
	var sending sync.WaitGroup
	for n, c := range clients {
		sending.Go(func() { c.send(largeWrite(n, 0)) })
	}
	time.Sleep(130 * time.Millisecond)
	p.signal(syscall.SIGCONT)
	sending.Wait()
	for _, c := range clients {
		if answer := c.readAnswer(); answer != "TDCZ v" && answer != "EZ 53300" {
			t.Errorf("the answer is %q, want a value or a refusal", answer)
		}
	}
}
