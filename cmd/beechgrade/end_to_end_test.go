package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"beechgrade"
	"beechgrade/internal/config"
	"beechgrade/internal/discovery"
	"beechgrade/internal/pgwire"
)

// testTimeout limits every wait of a test. No test depends on how fast something happens.
const testTimeout = 20 * time.Second

// peer is the test's end of a connection, as a client or as a server.
type peer struct {
	t *testing.T
	net.Conn
	in *bufio.Reader
}

func newPeer(t *testing.T, c net.Conn) *peer {
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { _ = c.Close() })
	return &peer{t, c, bufio.NewReader(c)}
}

// readMessage reads one message. It returns type 0 if the connection has ended.
func (p *peer) readMessage() (typ byte, body []byte) {
	var header [5]byte
	if _, err := io.ReadFull(p.in, header[:]); err != nil {
		return 0, nil
	}
	body = make([]byte, binary.BigEndian.Uint32(header[1:])-4)
	_, _ = io.ReadFull(p.in, body)
	return header[0], body
}

// readAnswer reads up to ReadyForQuery or the end of the connection. It returns the types of the messages, "$" for the end of
// the connection, and after a space the last row's value or error code.
func (p *peer) readAnswer() string {
	var types, detail string
	for {
		typ, body := p.readMessage()
		switch typ {
		case 0:
			return types + "$" + detail
		case 'D':
			value, _ := pgwire.ParseColumn(body)
			detail = " " + string(value)
		case 'E':
			detail = " " + pgwire.ErrorCode(body)
		}
		if types += string(typ); typ == 'Z' {
			return types + detail
		}
	}
}

// wantAnswer fails the test unless readAnswer returns the given answer.
func (p *peer) wantAnswer(answer string) {
	p.t.Helper()
	if got := p.readAnswer(); got != answer {
		p.t.Fatalf("got %q, want %q", got, answer)
	}
}

// wantAnswerAfterProbes is like wantAnswer, but ParameterStatus messages (S) may come before the answer: a client that is not read
// because it is far ahead of its answers may be sent them at any time.
func (p *peer) wantAnswerAfterProbes(answer string) {
	p.t.Helper()
	if got := strings.TrimLeft(p.readAnswer(), "S"); got != answer {
		p.t.Fatalf("got %q, want %q", got, answer)
	}
}

func (p *peer) send(b []byte) { _, _ = p.Write(b) }

// query returns a Query message with a request of the given id, class and deadline.
func query(id, class string, deadlineMs int) []byte {
	return pgwire.AppendQuery(nil,
		fmt.Sprintf("SELECT content FROM kv WHERE name = 'k' /* id=%s,c=%s,d=%d,cluster=0 */", id, class, deadlineMs))
}

// row returns a server's complete answer with one row.
func row(value string) []byte {
	b := pgwire.AppendComplete(pgwire.AppendRow(nil, "content", []byte(value)), "SELECT 1")
	return pgwire.AppendReady(pgwire.AppendParameter(b, "role", "primary"))
}

// receivedQuery is a query that a scripted server received, or the end of a connection if sql is "(gone)".
type receivedQuery struct {
	*peer
	sql  string
	conn int // number of the connection, counted from 1
}

// startServer starts a scripted server. It accepts connections, answers the startup message and sends the queries that it
// receives to the channel. The test answers them.
func startServer(t *testing.T) (addr string, queries <-chan receivedQuery) {
	listener := listen(t)
	ch := make(chan receivedQuery, 100)
	go func() {
		for n := 1; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func(n int) {
				p := newPeer(t, conn)
				var size [4]byte
				if _, err := io.ReadFull(p.in, size[:]); err != nil {
					return
				}
				_, _ = io.CopyN(io.Discard, p.in, int64(binary.BigEndian.Uint32(size[:]))-4)
				p.send(pgwire.AppendStartupReply(nil))
				for {
					typ, body := p.readMessage()
					if typ == 0 {
						ch <- receivedQuery{p, "(gone)", n}
						return
					}
					sql, _ := pgwire.ParseText(body)
					ch <- receivedQuery{p, sql, n}
				}
			}(n)
		}
	}()
	return listener.Addr().String(), ch
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// nextQuery returns the next query that the server receives, or the next end of a connection.
func nextQuery(t *testing.T, queries <-chan receivedQuery) receivedQuery {
	t.Helper()
	select {
	case q := <-queries:
		return q
	case <-time.After(testTimeout):
		t.Fatal("the server received no query")
		return receivedQuery{}
	}
}

// start runs a pooler in this process, with one server that is the primary of its group. watch handles the requests to the
// discovery server. The options may change the configuration. A signal sent to stop starts a drain, and done receives the
// result of run.
func start(t *testing.T, server string, watch http.HandlerFunc,
	options ...func(*config.Config)) (addr string, stop chan<- os.Signal, done <-chan error) {
	addr, _, stop, done = startWithReload(t, server, watch, nil, options...)
	return addr, stop, done
}

// startWithReload is like start, and also returns the channel for SIGHUP, which makes the pooler call loadConfig with its
// initial configuration.
func startWithReload(t *testing.T, server string, watch http.HandlerFunc,
	loadConfig func(config.Config) (*config.Config, error),
	options ...func(*config.Config)) (addr string, hup, stop chan<- os.Signal, done <-chan error) {
	_, addr, hup, stop, done = startPooler(t, server, watch, loadConfig, options...)
	return addr, hup, stop, done
}

// startPooler is like startWithReload, and also returns the pooler, for tests that post functions to its loop.
func startPooler(t *testing.T, server string, watch http.HandlerFunc,
	loadConfig func(config.Config) (*config.Config, error),
	options ...func(*config.Config)) (p *pooler, addr string, hup, stop chan<- os.Signal, done <-chan error) {
	if watch == nil {
		watch = func(w http.ResponseWriter, r *http.Request) {
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	}
	discoveryServer := httptest.NewServer(watch)
	t.Cleanup(func() { discoveryServer.CloseClientConnections(); discoveryServer.Close() })
	cfg := &config.Config{Name: "test", Listen: "127.0.0.1:0", Discovery: discoveryServer.Listener.Addr().String(),
		Limits: config.Limits{MemoryMB: 192, Sockets: 1024}, Classes: []string{"read", "write"},
		ConnectTimeoutMs: 5000, IdleTimeoutMs: 30000,
		LastKnownList: discovery.List{Generation: 4, Complete: true, Instances: []discovery.Instance{
			{ID: "s-1", HostPort: server, Lifecycle: "up", Weight: 1, Role: "primary"}}},
		Settings: beechgrade.Settings{RouterCount: 1, Tick: 2 * time.Millisecond, SubscribeList: true, ListShowsRole: true,
			ListRoleUpdates: true, MayCancel: true, MayDuplicate: true, MaxAttempts: 8, Classes: []beechgrade.Class{
				{LatencyTarget: testTimeout, Deadline: testTimeout, Value: 1, Read: beechgrade.ReadAny},
				{LatencyTarget: testTimeout, Deadline: testTimeout, Value: 1, Read: beechgrade.Write, Effect: beechgrade.Unsafe}}}}
	for _, f := range options {
		f(cfg)
	}
	p = newPooler(cfg, slog.New(slog.DiscardHandler))
	initial := *cfg
	p.loadConfig = func() (*config.Config, error) { return loadConfig(initial) }
	ready, ended, stopSignals, reloadSignals := make(chan string, 1), make(chan error, 1), make(chan os.Signal, 1),
		make(chan os.Signal, 1)
	p.loop.OnReady = func() { ready <- p.loop.Addr() }
	go func() { ended <- p.run(stopSignals, reloadSignals) }()
	t.Cleanup(func() {
		select {
		case stopSignals <- syscall.SIGTERM:
		default:
		}
	})
	select {
	case addr = <-ready:
	case err := <-ended:
		t.Fatal(err)
	}
	return p, addr, reloadSignals, stopSignals, ended
}

// dial opens a connection.
func dial(t *testing.T, addr string) *peer {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return newPeer(t, c)
}

// connect opens a connection, sends the startup message and reads the reply.
func connect(t *testing.T, addr string) *peer {
	p := dial(t, addr)
	p.send(pgwire.AppendStartup(nil, "backend", "store"))
	p.wantAnswer("RSSSSZ")
	return p
}

// TestFragmentedAndPipelinedInput tests that the startup message and queries may arrive byte by byte or several at once. A
// request is forwarded without waiting for the answers to earlier ones, but the client receives the answers in the order of
// its commands. Connections to the server are reused.
func TestFragmentedAndPipelinedInput(t *testing.T) {
	addr, queries := startServer(t)
	poolerAddr, _, _ := start(t, addr, nil)
	client := dial(t, poolerAddr)
	client.send([]byte{0, 0, 0, 8, 4, 210, 22, 47})
	if b, _ := client.in.ReadByte(); b != 'N' {
		t.Fatalf("the answer to the encryption request is %q, want 'N'", b)
	}
	for _, b := range append(pgwire.AppendStartup(nil, "backend", "store"), query("1", "read", 9000)...) {
		client.send([]byte{b})
	}
	client.wantAnswer("RSSSSZ")
	client.send(append(append(query("2", "read", 9000), pgwire.AppendQuery(nil, "")...), query("3", "reads", 9000)...))
	received := map[string]receivedQuery{}
	for n := range 2 {
		q := nextQuery(t, queries)
		var id string
		var deadlineMs int
		_, err := fmt.Sscanf(strings.ReplaceAll(q.sql, ",", " "),
			"SELECT content FROM kv WHERE name = 'k' /* id=%s c=read d=%d cluster=0 */", &id, &deadlineMs)
		if err != nil || deadlineMs <= 0 || deadlineMs > 9000 || q.conn > 2 {
			t.Fatalf("query %d: %q on connection %d: %v", n, q.sql, q.conn, err)
		}
		received[id] = q
	}
	received["2"].send(row("v2"))
	received["1"].send(row("v1"))
	for _, want := range []string{"TDCZ v1", "TDCZ v2", "IZ", "EZ 42601"} {
		client.wantAnswer(want)
	}
	client.send(query("4", "read", 9000))
	if q := nextQuery(t, queries); q.conn > 2 {
		t.Errorf("the query arrived on connection %d, want a reused one, 1 or 2", q.conn)
	}
}

// TestPipelineLongerThanQueue tests that a client which sends more commands than the pooler queues receives all answers, in
// order. The deadline of a command that had to wait counts from its arrival. Malformed input ends the connection after the
// earlier commands have been answered.
func TestPipelineLongerThanQueue(t *testing.T) {
	addr, queries := startServer(t)
	poolerAddr, _, _ := start(t, addr, nil)
	client := connect(t, poolerAddr)
	var input []byte
	for n := range 40 {
		input = append(input, query(fmt.Sprint(n), "read", 9000)...)
	}
	client.send(append(input, "? noise"...))
	go func() {
		for q := range queries {
			if at := strings.Index(q.sql, "id="); at >= 0 {
				q.send(row(strings.Split(q.sql[at+3:], ",")[0]))
			}
		}
	}()
	for n := range 40 {
		client.wantAnswer(fmt.Sprint("TDCZ ", n))
	}
	client.wantAnswer("E$ 08P01")
}

// TestLargePipelineIsAnswered guards against commands that were read ahead of the answers and then dropped unanswered: a client
// sends 24 writes of 128 KiB each at once, which is more than the pooler reads ahead.
func TestLargePipelineIsAnswered(t *testing.T) {
	const writes = 24
	addr, queries := startServer(t)
	poolerAddr, _, _ := start(t, addr, nil)
	client := connect(t, poolerAddr)
	var input []byte
	for n := range writes {
		input = append(input, pgwire.AppendQuery(nil, fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('k', '\\x%s')"+
			" RETURNING content /* id=%d,c=write,d=19000,cluster=0 */", strings.Repeat("00", 64<<10), n))...)
	}
	go client.send(input)
	go func() {
		for q := range queries {
			if _, fields, ok := strings.Cut(q.sql, "id="); ok {
				id, _, _ := strings.Cut(fields, ",")
				time.Sleep(5 * time.Millisecond) // the commands arrive faster than they are answered
				q.send(row(id))
			}
		}
	}()
	for n := range writes {
		client.wantAnswerAfterProbes(fmt.Sprint("TDCZ ", n))
	}
}

// TestResetWriteIsNotRetried tests that a write whose connection to the server breaks after its last byte was sent is not sent
// again, because it may have run. The client must receive one error, with a code that does not ask it to retry.
func TestResetWriteIsNotRetried(t *testing.T) {
	addr, queries := startServer(t)
	poolerAddr, _, _ := start(t, addr, nil)
	client := connect(t, poolerAddr)
	client.send(query("1", "write", 9000))
	_ = nextQuery(t, queries).Close()
	client.wantAnswer("EZ 58000")
	if q := nextQuery(t, queries); q.sql != "(gone)" || len(queries) != 0 {
		t.Errorf("the server received %q, want only the end of the connection", q.sql)
	}
}

// TestUnsentWriteIsRetryable tests that a write is refused with a code that permits a retry if the connection to the server
// breaks, or is not established, before the query is sent. The write cannot have run then.
func TestUnsentWriteIsRetryable(t *testing.T) {
	for name, handleConn := range map[string]func(net.Conn){
		"breaks": func(c net.Conn) { _ = c.Close() }, "is not established": func(net.Conn) {}} {
		t.Run(name, func(t *testing.T) {
			listener := listen(t)
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					t.Cleanup(func() { _ = conn.Close() })
					handleConn(conn)
				}
			}()
			poolerAddr, _, _ := start(t, listener.Addr().String(), nil, func(c *config.Config) { c.ConnectTimeoutMs = 50 })
			client := connect(t, poolerAddr)
			client.send(query("1", "write", 400))
			client.wantAnswer("EZ 53300")
		})
	}
}

// TestMalformedAnswer tests that an answer which is malformed or incomplete is never forwarded, not even in part. The write
// may have run, so the client must receive an error that leaves its effect open, and the connection to the server must be
// closed.
func TestMalformedAnswer(t *testing.T) {
	addr, queries := startServer(t)
	poolerAddr, _, _ := start(t, addr, nil)
	client := connect(t, poolerAddr)
	good := string(row("v"))
	for n, bad := range []string{"\xbf noise", strings.Replace(good, "D\x00", "q\x00", 1),
		good[:len(good)-6] + "Z\x00\x00\x00\x05T",
		strings.Replace(good, "D\x00\x00\x00\x0b", "D\xc0\x00\x00\x0b", 1),
		strings.Replace(good, "D\x00\x00\x00\x0b", "D\x00\x00\x00\x02", 1)} {
		client.send(query("1", "write", 9000))
		q := nextQuery(t, queries)
		q.send([]byte(bad))
		client.wantAnswer("EZ 58000")
		if closed := nextQuery(t, queries); closed.sql != "(gone)" || q.conn != n+1 {
			t.Fatalf("%q: the server received %q, want the end of the connection; the write arrived on connection %d",
				bad, closed.sql, q.conn)
		}
	}
}

// TestIncompleteAnswer tests that an answer which stops in the middle while the connection stays open is treated as failed
// long before the deadline. A read must be retried, and a write must fail.
func TestIncompleteAnswer(t *testing.T) {
	addr, queries := startServer(t)
	poolerAddr, _, _ := start(t, addr, nil)
	client := connect(t, poolerAddr)
	for n, class := range []string{"read", "write"} {
		client.send(query("1", class, 19000))
		q := nextQuery(t, queries)
		q.send(row("v")[:20])
		if closed := nextQuery(t, queries); closed.sql != "(gone)" || closed.conn != q.conn {
			t.Fatalf("the server received %q, want the end of the connection", closed.sql)
		}
		if n == 0 {
			nextQuery(t, queries).send(row("v"))
			client.wantAnswer("TDCZ v")
		}
	}
	client.wantAnswer("EZ 58000")
}

// TestDataBeyondAnswer tests that a connection to a server is not reused after the server has sent data beyond its answer,
// which would be taken for the answer to the next request. The data may arrive at once, while another request waits for the
// connection, or while the connection is idle.
func TestDataBeyondAnswer(t *testing.T) {
	addr, queries := startServer(t)
	poolerAddr, _, _ := start(t, addr, nil)
	client := connect(t, poolerAddr)
	for n, extra := range []string{string(row("v")), "\xbf", "S"} {
		client.send(query("1", "read", 9000))
		q := nextQuery(t, queries)
		q.send(append(row("v"), extra...))
		client.wantAnswer("TDCZ v")
		client.send(query("2", "read", 9000))
		if event := nextQuery(t, queries); event.sql == "(gone)" {
			q = nextQuery(t, queries)
		} else {
			q = event
			nextQuery(t, queries)
		}
		if q.sql == "(gone)" || q.conn != 2*n+2 {
			t.Fatalf("%q: the server received %q on connection %d, want the request on a new connection", extra, q.sql, q.conn)
		}
		q.send(row("w"))
		client.wantAnswer("TDCZ w")
		q.send([]byte(extra))
		if event := nextQuery(t, queries); event.sql != "(gone)" {
			t.Fatalf("%q while idle: the server received %q, want the end of the connection", extra, event.sql)
		}
	}
}

// TestProbeFindsThePrimary tests that a write waits while no primary is known, and is sent to the server whose answer to a
// probe shows that it is the primary.
func TestProbeFindsThePrimary(t *testing.T) {
	addr, queries := startServer(t)
	poolerAddr, _, _ := start(t, addr, nil, func(c *config.Config) {
		c.LastKnownList.Instances[0].Role, c.Settings.MayProbe = "replica", true
	})
	client := connect(t, poolerAddr)
	client.send(query("1", "write", 9000))
	received := nextQuery(t, queries)
	if received.sql != "SHOW load" {
		t.Fatalf("the server received %q, want a probe", received.sql)
	}
	received.send(row(fmt.Sprintf("x0=%d.25,x1=1", time.Now().Unix()-1)))
	received = nextQuery(t, queries)
	if !strings.Contains(received.sql, "id=1,") || received.conn != 1 {
		t.Fatalf("the server received %q on connection %d, want the write on connection 1", received.sql, received.conn)
	}
	received.send(row("v"))
	client.wantAnswer("TDCZ v")
}

// TestClientDisconnects tests that the attempt of a client that has disconnected is cancelled by closing its connection to the
// server, and that no later request uses that connection.
func TestClientDisconnects(t *testing.T) {
	addr, queries := startServer(t)
	poolerAddr, _, _ := start(t, addr, nil)
	client := connect(t, poolerAddr)
	client.send(query("1", "read", 9000))
	nextQuery(t, queries)
	_ = client.Close()
	if q := nextQuery(t, queries); q.sql != "(gone)" || q.conn != 1 {
		t.Fatalf("after the client disconnected, the server received %q, want the end of connection 1", q.sql)
	}
	client = connect(t, poolerAddr)
	client.send(query("2", "read", 9000))
	q := nextQuery(t, queries)
	q.send(row("v"))
	if client.wantAnswer("TDCZ v"); q.conn != 2 {
		t.Errorf("the query arrived on connection %d, want 2", q.conn)
	}
}

// TestProtocolErrorClosesOnlyItsConnection tests that input which violates the protocol closes only the connection that it
// arrived on, and that a statement which is not a request does not even close that.
func TestProtocolErrorClosesOnlyItsConnection(t *testing.T) {
	addr, queries := startServer(t)
	poolerAddr, _, _ := start(t, addr, nil)
	client := connect(t, poolerAddr)
	for name, bad := range map[string][]byte{
		"too long": {'Q', 127, 0, 0, 0}, "unknown type": {0, 0, 0, 0, 4}, "unterminated text": {'Q', 0, 0, 0, 5, 'x'}} {
		p := connect(t, poolerAddr)
		p.send(bad)
		if got := p.readAnswer(); got != "E$ 08P01" {
			t.Errorf("%s: got %q, want code 08P01 and the end of the connection", name, got)
		}
	}
	for sql, want := range map[string]string{"SELECT 1": "EZ 42601", "SET a = 1": "CZ", ";": "IZ",
		"SELECT 1 /* id=1,c=other,d=5 */": "EZ 42601"} {
		client.send(pgwire.AppendQuery(nil, sql))
		client.wantAnswer(want)
	}
	client.send(query("1", "read", 9000))
	nextQuery(t, queries).send(row("v"))
	client.wantAnswer("TDCZ v")
}

// TestInvalidRequest tests that an invalid request is answered with an error and never reaches a server: a request with the id
// of another client's open request, a write in a class of reads, an unknown class, no group, or an unknown group.
func TestInvalidRequest(t *testing.T) {
	addr, queries := startServer(t)
	poolerAddr, _, _ := start(t, addr, nil)
	client, other := connect(t, poolerAddr), connect(t, poolerAddr)
	client.send(query("1", "read", 9000))
	pending := nextQuery(t, queries)
	other.send(query("1", "read", 9000))
	other.wantAnswer("EZ 42601")
	for sql, want := range map[string]string{
		"INSERT INTO kv (name, content) VALUES ('k', '') RETURNING content /* id=2,c=read,d=9000,cluster=0 */": "EZ 42601",
		"SELECT content FROM kv WHERE name = 'k' /* id=3,c=reads,d=9000,cluster=0 */":                          "EZ 42601",
		"SELECT content FROM kv WHERE name = 'k' /* id=4,c=read,d=9000 */":                                     "EZ 42601",
		"SELECT content FROM kv WHERE name = 'k' /* id=5,c=read,d=9000,cluster=9 */":                           "EZ 53300"} {
		other.send(pgwire.AppendQuery(nil, sql))
		other.wantAnswer(want)
	}
	if len(queries) > 0 {
		t.Errorf("the server received the invalid request %q", (<-queries).sql)
	}
	pending.send(row("v"))
	client.wantAnswer("TDCZ v")
	other.send(query("1", "read", 9000)) // the id is not in use any more
	nextQuery(t, queries).send(row("w"))
	other.wantAnswer("TDCZ w")
}

// TestSilentClients tests that clients which connect and send nothing, or only a part of a message, are disconnected soon, and
// at once if a new client needs a descriptor. The new client must be served, and a client with an open request must not be
// affected.
func TestSilentClients(t *testing.T) {
	addr, queries := startServer(t)
	poolerAddr, _, _ := start(t, addr, nil, func(c *config.Config) {
		c.Limits.Sockets = reservedDescriptors + 10 // of which eight are for clients
	})
	busy := connect(t, poolerAddr)
	busy.send(query("1", "read", 9000))
	pending := nextQuery(t, queries)
	var silent []*peer
	for range 20 {
		silent = append(silent, dial(t, poolerAddr))
	}
	client := connect(t, poolerAddr)
	client.send(query("2", "read", 9000))
	second := nextQuery(t, queries)
	second.send(row("w"))
	client.wantAnswer("TDCZ w")
	for _, p := range silent {
		if got := p.readAnswer(); got != "$" {
			t.Errorf("a silent client received %q, want only the end of the connection", got)
		}
	}
	for name, part := range map[string][]byte{"startup": {0, 0, 0, 50, 0, 3},
		"message": append(pgwire.AppendStartup(nil, "u", "d"), 'Q', 0, 0)} {
		p := dial(t, poolerAddr)
		p.send(part)
		if got := strings.TrimPrefix(p.readAnswer(), "RSSSSZ"); name == "startup" && got != "E$ 08P01" {
			t.Errorf("%s: received %q, want code 08P01 and the end of the connection", name, got)
		} else if name == "message" {
			p.wantAnswer("E$ 08P01")
		}
	}
	pending.send(row("v"))
	busy.wantAnswer("TDCZ v")
}

// TestIdleClientsAreClosed tests that the clients which have been idle for longest are disconnected when too many clients are
// active, before descriptors run out, and that no client is rejected. The number of connections that clients may open is
// limited, and some clients keep each one open for a while after a single request.
func TestIdleClientsAreClosed(t *testing.T) {
	addr, queries := startServer(t)
	poolerAddr, _, _ := start(t, addr, nil, func(c *config.Config) {
		c.Limits.Sockets = reservedDescriptors + 96 // of which 77 are for clients
	})
	var clients []*peer
	sendRequest := func(c *peer) {
		c.send(query(fmt.Sprint("request", len(clients)), "read", 9000))
		q := nextQuery(t, queries)
		for q.sql == "(gone)" {
			q = nextQuery(t, queries)
		}
		q.send(row("v"))
		c.wantAnswer("TDCZ v")
	}
	unused := connect(t, poolerAddr)
	for range 50 {
		clients = append(clients, connect(t, poolerAddr))
		sendRequest(clients[len(clients)-1])
	}
	time.Sleep(2 * 20 * time.Millisecond) // twice the idle time after which a connection may be closed
	clients = append(clients, connect(t, poolerAddr))
	sendRequest(clients[50])
	for _, c := range clients[:11] { // 40 of the 51 clients stay connected
		c.wantAnswer("$")
	}
	clients = append(clients, nil)
	sendRequest(clients[11])
	sendRequest(clients[50])
	sendRequest(unused)
}

// TestRejectedClientReceivesError tests that a client for which there is no descriptor receives an error message, with a
// retry-after time if the settings allow it, even if it has sent its request already. Closing the connection with unread input
// would reset it, and the reset may reach the client before the error message does.
func TestRejectedClientReceivesError(t *testing.T) {
	addr, _ := startServer(t)
	poolerAddr, _, _ := start(t, addr, nil, func(c *config.Config) {
		c.Limits.Sockets, c.Settings.MaxRetryAfter = reservedDescriptors+10, 1500*time.Millisecond
	})
	for n := range 6 { // four of their requests get a connection to the server
		connect(t, poolerAddr).send(query(fmt.Sprint(n), "write", 19000)) // never answered
	}
	for range 20 {
		client := dial(t, poolerAddr)
		client.send(append(pgwire.AppendStartup(nil, "backend", "store"), query("x", "read", 9000)...))
		if typ, body := client.readMessage(); typ != 'E' || pgwire.ErrorCode(body) != "53300" ||
			!strings.Contains(string(body), "\x00D1500\x00") {
			t.Fatalf("received %q %q, want an error with code 53300 and 1500 ms in field D", typ, body)
		}
		client.wantAnswer("$")
		_ = client.Close()
	}
}

// TestWatch tests that a watch which fails is opened again, from the same generation, and that its events take effect: no
// request is sent to a server that drains.
func TestWatch(t *testing.T) {
	addr, queries := startServer(t)
	var calls atomic.Int32
	requests := make(chan string, 9)
	poolerAddr, _, _ := start(t, addr, func(w http.ResponseWriter, r *http.Request) {
		requests <- r.URL.String()
		if calls.Add(1) == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintf(w,
			"\n{\"generation\":5,\"reset\":false,\"instances\":[{\"instanceId\":\"s-1\",\"hostPort\":%q,\"lifecycle\":\"draining\"}]}\n",
			addr)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	for range 2 {
		select {
		case got := <-requests:
			if got != "/v1/endpoints?watch=1&from=4" {
				t.Fatalf("got the request %s, want a watch from generation 4", got)
			}
		case <-time.After(testTimeout):
			t.Fatal("no watch was requested")
		}
	}
	client := connect(t, poolerAddr)
	go func() {
		for q := range queries {
			q.send(row("v"))
		}
	}()
	for deadline := time.Now().Add(testTimeout); ; { // the server may receive requests until the event has arrived
		client.send(query("1", "read", 400))
		switch got := client.readAnswer(); {
		case got == "EZ 53300":
			return
		case got != "TDCZ v":
			t.Fatalf("got %q, want the row or a refusal", got)
		case time.Now().After(deadline):
			t.Fatal("a draining server still receives requests")
		}
	}
}

// TestPushedListIsWatched tests that the pooler opens a watch at the start, and again when it breaks, if the settings say that
// the list is pushed to the router. The router does not subscribe to the list then, and each list takes effect at once.
func TestPushedListIsWatched(t *testing.T) {
	addr, _ := startServer(t)
	requests := make(chan string, 9)
	start(t, addr, func(_ http.ResponseWriter, r *http.Request) { requests <- r.URL.String() },
		func(c *config.Config) { c.Settings.SubscribeList = false })
	for range 2 {
		select {
		case got := <-requests:
			if got != "/v1/endpoints?watch=1&from=4" {
				t.Fatalf("got the request %s, want a watch from generation 4", got)
			}
		case <-time.After(testTimeout):
			t.Fatal("no watch was requested")
		}
	}
}

// TestReload tests that on SIGHUP an invalid configuration changes nothing, and that one with another discovery server takes
// effect at once. The pooler must request the complete list of the new discovery server, which has generations of its own, and
// must not take the end of the old watch for a failure of the new one.
func TestReload(t *testing.T) {
	oldAddr, oldQueries := startServer(t)
	newAddr, newQueries := startServer(t)
	calls := make(chan string, 9)
	watch := func(name, addr string, generation int, afterWatch func(*http.Request)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			reset := !r.URL.Query().Has("from") // the server takes any generation for one of its own
			calls <- name + r.URL.String()
			fmt.Fprintf(w,
				"{\"generation\":%d,\"reset\":%v,\"instances\":[{\"instanceId\":\"s-%s\",\"hostPort\":%q,\"lifecycle\":\"up\",\"role\":\"primary\"}]}\n",
				generation, reset, name, addr)
			w.(http.Flusher).Flush()
			if !reset {
				afterWatch(r)
			}
		}
	}
	waitForClose := func(r *http.Request) { <-r.Context().Done() }
	newDiscovery := httptest.NewServer(watch("2", newAddr, 2, waitForClose))
	t.Cleanup(func() { newDiscovery.CloseClientConnections(); newDiscovery.Close() })
	loads, closed := 0, make(chan struct{})
	poolerAddr, hup, _, _ := startWithReload(t, oldAddr,
		watch("1", oldAddr, 40, func(r *http.Request) { waitForClose(r); close(closed) }),
		func(c config.Config) (*config.Config, error) {
			if loads++; loads == 1 {
				return nil, errors.New("invalid configuration")
			}
			c.Discovery = newDiscovery.Listener.Addr().String()
			return &c, nil
		})
	wantCall := func(want string) {
		t.Helper()
		select {
		case got := <-calls:
			if got != want {
				t.Fatalf("request %s to discovery, want %s", got, want)
			}
		case <-time.After(testTimeout):
			t.Fatalf("no request to discovery, want %s", want)
		}
	}
	wantCall("1/v1/endpoints?watch=1&from=4")
	client := connect(t, poolerAddr)
	hup <- syscall.SIGHUP
	client.send(query("1", "read", 9000))
	nextQuery(t, oldQueries).send(row("v"))
	client.wantAnswer("TDCZ v")
	hup <- syscall.SIGHUP
	wantCall("2/v1/endpoints?watch=1&from=0")
	wantCall("2/v1/endpoints") // because the first answer was not the complete list
	<-closed
	for deadline, newServerUsed := time.Now().Add(testTimeout), false; !newServerUsed; { // until the pooler uses the new list
		if time.Now().After(deadline) {
			t.Fatal("the new list is not used")
		}
		client.send(query("2", "read", 9000))
		for answered := false; !answered; {
			var q receivedQuery
			select {
			case q = <-newQueries:
				newServerUsed = true
			case q = <-oldQueries:
			case <-time.After(testTimeout):
				t.Fatal("no server received the query")
			}
			if answered = q.sql != "(gone)"; answered {
				q.send(row("v"))
			}
		}
		client.wantAnswer("TDCZ v")
	}
	if len(calls) > 0 {
		t.Errorf("unexpected request to discovery: %s", <-calls)
	}
}

// TestDescriptorLimit tests that the pooler never has more connections than descriptors: for a new client it closes the
// connection of an idle one.
func TestDescriptorLimit(t *testing.T) {
	addr, queries := startServer(t)
	poolerAddr, _, _ := start(t, addr, nil, func(c *config.Config) { c.Limits.Sockets = reservedDescriptors + 10 })
	var clients []*peer
	for range 8 { // two descriptors are reserved for connections to the server
		clients = append(clients, connect(t, poolerAddr))
	}
	clients[0].send(query("1", "read", 9000)) // makes the client busy
	pending := nextQuery(t, queries)
	connect(t, poolerAddr)
	clients[1].wantAnswer("$")
	pending.send(row("v"))
	clients[0].wantAnswer("TDCZ v")
	for _, c := range clients[2:] {
		c.send(pgwire.AppendQuery(nil, ""))
		c.wantAnswer("IZ")
	}
}

// TestRefusalHasRetryAfter tests that a refusal has the router's retry-after time, in milliseconds, in field D if the settings
// allow it.
func TestRefusalHasRetryAfter(t *testing.T) {
	addr, _ := startServer(t)
	poolerAddr, _, _ := start(t, addr, nil, func(c *config.Config) {
		c.LastKnownList.Instances[0].Group, c.Settings.MaxRetryAfter = 9, 1500*time.Millisecond
	})
	client := connect(t, poolerAddr)
	client.send(query("1", "read", 400)) // no server belongs to its group
	if typ, body := client.readMessage(); typ != 'E' || !strings.Contains(string(body), "\x00D1500\x00") {
		t.Errorf("received %q %q, want an error with 1500 ms in field D", typ, body)
	}
}

// TestServerAddressChanges tests that requests go to the new address of a server once the list shows it, even if a connection
// to the old address was in use when the change arrived and is free now.
func TestServerAddressChanges(t *testing.T) {
	oldAddr, oldQueries := startServer(t)
	newAddr, newQueries := startServer(t)
	publish := make(chan struct{})
	poolerAddr, _, _ := start(t, oldAddr, func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		select {
		case <-publish:
			fmt.Fprintf(w,
				"{\"generation\":5,\"instances\":[{\"instanceId\":\"s-1\",\"hostPort\":%q,\"lifecycle\":\"up\",\"role\":\"primary\"}]}\n",
				newAddr)
			w.(http.Flusher).Flush()
		case <-r.Context().Done():
		}
		<-r.Context().Done()
	})
	client, other := connect(t, poolerAddr), connect(t, poolerAddr)
	client.send(query("1", "read", 9000))
	pending := nextQuery(t, oldQueries)
	close(publish)
	for newAddrUsed, deadline := false, time.Now().Add(testTimeout); !newAddrUsed; { // until the change has arrived
		if time.Now().After(deadline) {
			t.Fatal("the new address receives no request")
		}
		other.send(query("2", "read", 9000))
		for answered := false; !answered; {
			select {
			case q := <-oldQueries:
				if answered = q.sql != "(gone)"; answered {
					q.send(row("v"))
				}
			case q := <-newQueries:
				q.send(row("v"))
				newAddrUsed, answered = true, true
			case <-time.After(testTimeout):
				t.Fatal("no server received the query")
			}
		}
		other.wantAnswer("TDCZ v")
	}
	pending.send(row("v"))
	client.wantAnswer("TDCZ v")
	client.send(query("3", "read", 9000))
	nextQuery(t, newQueries).send(row("v3"))
	client.wantAnswer("TDCZ v3")
}

// TestGracefulShutdown tests that after SIGTERM the open requests are answered, and that new and existing connections stay in
// use until the longest deadline has passed. Requests that arrive meanwhile must be answered in time even if their own
// deadline is later. The pooler must end without an error once no request is open.
func TestGracefulShutdown(t *testing.T) {
	addr, queries := startServer(t)
	poolerAddr, stop, done := start(t, addr, nil, func(c *config.Config) {
		for i := range c.Settings.Classes {
			c.Settings.Classes[i].Deadline = 2 * time.Second
		}
	})
	client, idle := connect(t, poolerAddr), connect(t, poolerAddr)
	client.send(query("1", "read", 9000))
	pending := nextQuery(t, queries)
	stop <- syscall.SIGTERM
	startedAt := time.Now()
	newClient := connect(t, poolerAddr)
	newClient.send(query("2", "read", 9000))
	nextQuery(t, queries).send(row("v2"))
	newClient.wantAnswer("TDCZ v2")
	newClient.send(query("3", "write", 19000)) // never answered
	nextQuery(t, queries)
	if got, took := idle.readAnswer(), time.Since(startedAt); got != "$" || took < 2*time.Second {
		t.Errorf("the idle client received %q after %v, want the end of the connection after at least 2 s", got, took)
	}
	newClient.wantAnswer("EZ 58000")
	pending.send(row("v1"))
	client.wantAnswer("TDCZ v1")
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Error("the pooler did not end")
	}
	if _, err := net.Dial("tcp", poolerAddr); err == nil || !strings.Contains(err.Error(), "refused") {
		t.Errorf("connecting after the end: got error %v, want connection refused", err)
	}
}

// TestRequestArrivesAsClientsAreClosed tests that a request is answered if it arrives on an idle connection at the moment at
// which a draining pooler is about to close it. The test blocks the loop until after the time of closing, so that the request
// and the closing are due together.
func TestRequestArrivesAsClientsAreClosed(t *testing.T) {
	addr, queries := startServer(t)
	p, poolerAddr, _, _, done := startPooler(t, addr, nil, nil, func(c *config.Config) {
		for i := range c.Settings.Classes {
			c.Settings.Classes[i].Deadline = time.Second
		}
	})
	client, idle := connect(t, poolerAddr), connect(t, poolerAddr)
	loopPaused, requestSent := make(chan struct{}), make(chan struct{})
	p.loop.Post(p.beginDrain)
	p.loop.Post(func() { // blocks the loop until after the time at which it would close the connections and end
		close(loopPaused)
		<-requestSent
		for deadline := p.loop.Now() + 1000 + closeClientsAfterMs + 2*drainCheckIntervalMs; p.loop.Now() < deadline; {
			runtime.Gosched()
		}
	})
	<-loopPaused
	client.send(query("1", "read", 9000))
	close(requestSent)
	nextQuery(t, queries).send(row("v"))
	client.wantAnswer("TDCZ v")
	client.wantAnswer("$")
	idle.wantAnswer("$")
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Error("the pooler did not end")
	}
}
