package main

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"beechgrade/internal/pgwire"
)

// attemptGrace is the time after a client's close in which attempts for it may still begin.
const attemptGrace = 100 * time.Millisecond

// TestDepartedPipelinesAreNotSent guards against attempts for clients that have left while much of what they sent is unread: the
// close then lies behind data that still waits in the client's own socket. The clients have more requests than there are
// connections to the server, and one of these becomes free after the close.
func TestDepartedPipelinesAreNotSent(t *testing.T) {
	addr, queries := startServer(t)
	p := startProcess(t, addr, changeLimits(map[string]any{"sockets": 128})) // allows 28 connections to servers
	other := connect(t, p.addr)
	other.send(query("other", "read", 9000))
	pending := nextQuery(t, queries)
	var departing sync.WaitGroup
	for client := range 4 {
		departing.Go(func() {
			c := connect(t, p.addr)
			var input []byte
			for n := range 2000 {
				input = append(input, pgwire.AppendQuery(nil, fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('k', '\\x%s')"+
					" RETURNING content /* id=departed%d-%d,c=write,d=9000,cluster=0 */", strings.Repeat("00", 2<<10), client, n))...)
			}
			_ = c.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
			_, _ = c.Write(input)
			_ = c.Close()
		})
	}
	departing.Wait()
	time.Sleep(attemptGrace)
	for len(queries) > 0 { // sent while the clients were connected
		<-queries
	}
	pending.send(row("v")) // frees a connection
	other.wantAnswer("TDCZ v")
	for timeout := time.After(500 * time.Millisecond); ; {
		select {
		case q := <-queries:
			if q.sql != "(gone)" {
				t.Fatalf("the server received %.60q for a client that has left", q.sql)
			}
			continue
		case <-timeout:
		}
		break
	}
}

// TestAbandonedWriteIsNotSentAgain guards against running a write twice: its client leaves before the answer, and the same id comes
// again on a new connection.
func TestAbandonedWriteIsNotSentAgain(t *testing.T) {
	addr, queries := startServer(t)
	p := startProcess(t, addr)
	departing := connect(t, p.addr)
	departing.send(query("twice", "write", 2000))
	first := nextQuery(t, queries)
	_ = departing.Close()
	time.Sleep(attemptGrace)
	client := connect(t, p.addr)
	client.send(query("twice", "write", 2000))
	client.wantAnswer("EZ 42601")
	first.send(row("v"))
	time.Sleep(attemptGrace)
	client.send(query("twice", "write", 2000))
	client.wantAnswer("EZ 42601")
	client.send(query("other", "write", 2000))
	for q := nextQuery(t, queries); ; q = nextQuery(t, queries) {
		if q.sql == "(gone)" {
			continue
		}
		if !strings.Contains(q.sql, "id=other,") {
			t.Fatalf("the server received %q, want only the request with id \"other\"", q.sql)
		}
		q.send(row("w"))
		break
	}
	client.wantAnswer("TDCZ w")
}
