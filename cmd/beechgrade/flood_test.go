package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"beechgrade/internal/pgwire"
)

const (
	floodingClients = 6
	usualClients    = 100
	// usualClientInterval is the time between two usual clients that connect.
	usualClientInterval = 15 * time.Millisecond
	// floodRequestMs is the time in milliseconds for which a usual client waits for its answer.
	floodRequestMs = 300
	// lateAnswerGrace is the time after a request's own time by which it must have its answer.
	lateAnswerGrace = 500 * time.Millisecond
)

// flood is what a flooding client sends at full speed.
type flood struct {
	name       string
	hasStarted bool               // the client starts a session first
	commands   func(n int) []byte // returns some commands; n differs between calls
}

// statements returns 100 queries, each with the text that format makes of n and of its own number.
func statements(format string) func(n int) []byte {
	return func(n int) []byte {
		var b []byte
		for i := range 100 {
			b = pgwire.AppendQuery(b, fmt.Sprintf(format, n, i))
		}
		return b
	}
}

var floods = []flood{
	{"encryption requests", false, func(int) []byte { return bytes.Repeat(sslRequest, 500) }},
	{"empty statements", true, func(int) []byte { return bytes.Repeat(pgwire.AppendQuery(nil, ""), 500) }},
	{"no id and no time-out", true, statements("SELECT content FROM kv WHERE name = 'k%d-%d' /* c=read,cluster=0 */")},
	{"new classes", true, statements("SELECT content FROM kv /* id=f%[1]d-%[2]d,c=c%[1]d-%[2]d,d=300,cluster=0 */")},
	{"new groups", true, statements("SELECT content FROM kv /* id=f%[1]d-%[2]d,c=read,d=300,cluster=%[1]d%[2]d */")},
	{"no messages", true, func(int) []byte { return []byte("? this is no message") }},
}

// run sends commands at full speed until stop is closed, and connects again whenever the connection ends.
func (f flood) run(addr string, client int, stop <-chan struct{}) {
	for n := client << 20; ; {
		select {
		case <-stop:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", addr, testTimeout)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		ended := make(chan struct{})
		go func() {
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
			close(ended)
		}()
		go func() {
			select {
			case <-stop:
				_ = conn.Close()
			case <-ended:
			}
		}()
		if f.hasStarted {
			_, err = conn.Write(pgwire.AppendStartup(nil, "backend", "store"))
		}
		for ; err == nil; n++ {
			_, err = conn.Write(f.commands(n))
		}
		<-ended
	}
}

// usualRequest connects as a new client, sends one request and returns the answer and the time that it took.
func usualRequest(t *testing.T, addr string, n int) (answer string, took time.Duration) {
	sentAt := time.Now()
	conn, err := net.DialTimeout("tcp", addr, testTimeout)
	if err != nil {
		return err.Error(), time.Since(sentAt)
	}
	c := newPeer(t, conn)
	defer conn.Close()
	c.send(append(pgwire.AppendStartup(nil, "backend", "store"), query(fmt.Sprint("usual", n), "read", floodRequestMs)...))
	if answer = c.readAnswer(); answer == "RSSSSZ" {
		answer = c.readAnswer()
	}
	return answer, time.Since(sentAt)
}

// answerAll answers every query that the server receives after 10 ms.
func answerAll(queries <-chan receivedQuery) {
	for q := range queries {
		if q.sql != "(gone)" {
			time.AfterFunc(10*time.Millisecond, func() { q.send(row("v")) })
		}
	}
}

// TestUsualClientsBesideFloods guards against clients that get no answer, or a late one, while others send commands at full speed
// that need no server. The memory of the process must stay within its limit meanwhile.
func TestUsualClientsBesideFloods(t *testing.T) {
	for _, f := range floods {
		t.Run(f.name, func(t *testing.T) {
			addr, queries := startServer(t)
			go answerAll(queries)
			p := startProcess(t, addr)
			stop := make(chan struct{})
			var flooding sync.WaitGroup
			for i := range floodingClients {
				flooding.Go(func() { f.run(p.addr, i, stop) })
			}
			time.Sleep(300 * time.Millisecond)
			answers := sendUsualRequests(t, p.addr)
			close(stop)
			flooding.Wait()
			p.wantRunning()
			wantUsualAnswers(t, answers)
			p.wantMemoryInLimit()
		})
	}
}

// sendUsualRequests has usual clients connect one after the other, each with one request, and returns the number of each answer,
// which is "late" if it took too long.
func sendUsualRequests(t *testing.T, addr string) map[string]int {
	var mu sync.Mutex
	answers := map[string]int{}
	var usual sync.WaitGroup
	for i := range usualClients {
		usual.Go(func() {
			time.Sleep(time.Duration(i) * usualClientInterval)
			answer, took := usualRequest(t, addr, i)
			mu.Lock()
			defer mu.Unlock()
			if took > floodRequestMs*time.Millisecond+lateAnswerGrace {
				answer = "late"
			}
			answers[answer]++
		})
	}
	usual.Wait()
	return answers
}

// wantUsualAnswers fails the test unless all usual clients have had an answer in time, and half of them were served.
func wantUsualAnswers(t *testing.T, answers map[string]int) {
	t.Helper()
	served, refused := answers["TDCZ v"], answers["EZ 53300"]+answers["E$ 53300"]
	if served+refused < usualClients || served < refused {
		t.Errorf("answers to %d usual clients: %v; want all in time, and at least half of them served", usualClients, answers)
	}
}

// peakMemoryKB returns the largest resident memory that the process has had, in KiB.
func (p *process) peakMemoryKB() (kb int) {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	_, peak, _ := strings.Cut(string(status), "VmHWM:")
	if _, err := fmt.Sscan(peak, &kb); err != nil {
		p.t.Fatal(err)
	}
	return kb
}

// TestThrottledCommandsAreAnswered guards against commands that are dropped because a client has sent too many: all of them are
// answered in order, also the request behind them, and also while the process drains.
func TestThrottledCommandsAreAnswered(t *testing.T) {
	const emptyStatements = 5000
	addr, queries := startServer(t)
	go answerAll(queries)
	poolerAddr, stop, done := start(t, addr, nil)
	client := connect(t, poolerAddr)
	input := bytes.Repeat(pgwire.AppendQuery(nil, ""), emptyStatements)
	client.send(append(input, query("1", "read", 19000)...))
	client.wantAnswerAfterProbes("IZ")
	stop <- os.Interrupt
	for range emptyStatements - 1 {
		client.wantAnswerAfterProbes("IZ")
	}
	client.wantAnswerAfterProbes("TDCZ v")
	client.wantAnswer("$")
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// killAfterMs is the time in milliseconds after SIGTERM at which a process may be killed: the longest deadline in its configuration
// and 700 ms.
const killAfterMs = 3700

// TestFloodsDoNotDelayTheEnd guards against a process that does not end in time after SIGTERM because some clients never rest.
func TestFloodsDoNotDelayTheEnd(t *testing.T) {
	addr, queries := startServer(t)
	go answerAll(queries)
	p := startProcess(t, addr)
	stop := make(chan struct{})
	var flooding sync.WaitGroup
	for i := range 2 {
		flooding.Go(func() { floods[1].run(p.addr, i, stop) })
	}
	time.Sleep(300 * time.Millisecond)
	p.signal(syscall.SIGTERM)
	p.wantCleanExit()
	close(stop)
	flooding.Wait()
	var took float64
	if _, text, ok := strings.Cut(p.log.String(), "msg=drained pooler=toy ms="); !ok {
		t.Fatalf("the log has no line on the end of the drain:\n%s", p.log)
	} else if _, err := fmt.Sscan(text, &took); err != nil || took > killAfterMs {
		t.Errorf("the process ended %v ms after SIGTERM (error %v), want at most %d", took, err, killAfterMs)
	}
}

// TestEncryptionRequestsAreLimited guards against clients that ask for encryption for ever, which are owed an error or the end of
// the connection. One request for TLS and one for GSSAPI are answered with 'N'.
func TestEncryptionRequestsAreLimited(t *testing.T) {
	addr, _ := startServer(t)
	poolerAddr, _, _ := start(t, addr, nil)
	client := dial(t, poolerAddr)
	client.send(bytes.Repeat(sslRequest, 3))
	for range 2 {
		if b, _ := client.in.ReadByte(); b != 'N' {
			t.Fatalf("the answer to the encryption request is %q, want 'N'", b)
		}
	}
	client.wantAnswer("E$ 08P01")
}
