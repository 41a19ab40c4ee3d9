package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"beechgrade/internal/pgwire"
)

// startWithLogPipe starts a process that logs to a pipe, and waits until it serves. Afterwards nothing reads from the pipe any
// more. The caller may close the reader.
func startWithLogPipe(t *testing.T, server string, verbose bool) (p *process, reader *os.File) {
	t.Helper()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = reader.Close() })
	served := make(chan struct{})
	p = startProcess(t, server, func(p *process) {
		if verbose {
			p.cmd.Args = []string{p.cmd.Args[0], "--verbose", "serve"}
		}
		p.cmd.Stdout, p.cmd.Stderr = writer, writer
		go func() { // reads up to the line with the address that the process serves on
			for lines := bufio.NewScanner(reader); lines.Scan(); {
				fmt.Fprintln(p.log, lines.Text())
				if servingAt.MatchString(lines.Text()) {
					break
				}
			}
			close(served)
		}()
	})
	_ = writer.Close()
	<-served
	return p, reader
}

// TestLogStreamBreaks tests that the process continues after the reader of its log has closed the pipe, although each log line
// then fails with EPIPE and raises SIGPIPE.
func TestLogStreamBreaks(t *testing.T) {
	addr, queries := startServer(t)
	p, reader := startWithLogPipe(t, addr, true)
	_ = reader.Close()
	for n := range 20 {
		client := connect(t, p.addr)
		client.send(query(fmt.Sprint(n), "read", 9000))
		nextQuery(t, queries).send(row("v"))
		client.wantAnswer("TDCZ v")
		_ = client.Close()
		p.signal(syscall.SIGHUP)
	}
	p.wantRunning()
	p.signal(syscall.SIGTERM)
	p.wantCleanExit()
}

// TestLogStreamBlocks tests that the process serves clients as usual after its log has filled the pipe because the reader does
// not read.
func TestLogStreamBlocks(t *testing.T) {
	addr, queries := startServer(t)
	p, _ := startWithLogPipe(t, addr, true)
	for n := range 1500 { // each client causes two log lines of over 60 bytes, and a pipe holds 64 KiB
		client := connect(t, p.addr)
		client.send(query(fmt.Sprint(n), "nothing", 9000))
		client.wantAnswer("EZ 42601")
		client.send([]byte("X\x00\x00\x00\x04"))
		client.wantAnswer("$")
	}
	client := connect(t, p.addr)
	client.send(query("last", "read", 9000))
	nextQuery(t, queries).send(row("v"))
	client.wantAnswer("TDCZ v")
	p.signal(syscall.SIGTERM)
	p.wantCleanExit()
}

// TestReloadRetriesTransientFailures tests that the process applies a new configuration as soon as it can read it, if that is
// not possible at once on SIGHUP because the file is half written or missing, or because the process has no descriptor left.
func TestReloadRetriesTransientFailures(t *testing.T) {
	for name, updateConfig := range map[string]func(t *testing.T, p *process, contents []byte){
		"half written": func(t *testing.T, p *process, contents []byte) {
			if err := os.WriteFile(p.config, contents[:len(contents)/2], 0o600); err != nil {
				t.Fatal(err)
			}
			p.signal(syscall.SIGHUP)
			p.waitForLog("configuration cannot be read; retrying")
			if err := os.WriteFile(p.config, contents, 0o600); err != nil {
				t.Fatal(err)
			}
		},
		"missing": func(t *testing.T, p *process, contents []byte) {
			_ = os.Remove(p.config)
			p.signal(syscall.SIGHUP)
			p.waitForLog("configuration cannot be read; retrying")
			if err := os.WriteFile(p.config, contents, 0o600); err != nil {
				t.Fatal(err)
			}
		},
		"out of descriptors": func(t *testing.T, p *process, contents []byte) {
			if err := os.WriteFile(p.config, contents, 0o600); err != nil {
				t.Fatal(err)
			}
			before := p.limitDescriptors(p.lowestFreeDescriptor())
			p.signal(syscall.SIGHUP)
			p.waitForLog("configuration cannot be read; retrying")
			p.limitDescriptors(before)
		},
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := startServer(t)
			p := startProcess(t, addr)
			called := make(chan struct{}, 9)
			newDiscovery := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				called <- struct{}{}
				<-r.Context().Done()
			}))
			t.Cleanup(func() { newDiscovery.CloseClientConnections(); newDiscovery.Close() })
			updateConfig(t, p, configJSON(t, addr, newDiscovery.Listener.Addr().String()))
			select {
			case <-called:
			case <-time.After(testTimeout):
				t.Errorf("the process does not call the new discovery server; its log:\n%s", p.log)
			}
		})
	}
}

// waitForLog waits until the log of the process contains the text.
func (p *process) waitForLog(text string) {
	p.t.Helper()
	for deadline := time.Now().Add(testTimeout); !strings.Contains(p.log.String(), text); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			p.t.Fatalf("the log does not contain %q:\n%s", text, p.log)
		}
	}
}

// TestRepeatedSignals tests that repeated signals before and during a drain do no harm: the open request and a request that
// arrives during the drain must be answered, there must be only one drain, and the process must exit with status 0.
func TestRepeatedSignals(t *testing.T) {
	addr, queries := startServer(t)
	p := startProcess(t, addr)
	client := connect(t, p.addr)
	client.send(query("1", "write", 2000))
	pending := nextQuery(t, queries)
	for range 5 {
		p.signal(syscall.SIGHUP)
		time.Sleep(50 * time.Millisecond)
	}
	p.signal(syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	p.waitForLog("to=draining")
	newClient := connect(t, p.addr)
	newClient.send(query("2", "read", 2000))
	nextQuery(t, queries).send(row("w"))
	newClient.wantAnswer("TDCZ w")
	p.signal(syscall.SIGTERM, syscall.SIGHUP)
	pending.send(row("v"))
	client.wantAnswer("TDCZ v")
	client.wantAnswer("$")
	newClient.wantAnswer("$")
	p.wantCleanExit()
	if strings.Count(p.log.String(), "to=draining") != 1 || !strings.Contains(p.log.String(), "unanswered=0") {
		t.Errorf("want one drain without unanswered requests; the log:\n%s", p.log)
	}
}

// TestClientDisconnectsWhileProcessPaused guards against forwarding the requests of clients that have sent them and disconnected
// while the process was paused. No attempt may begin for a client that has been gone for 100 ms, also if its request is so large
// that it takes several reads to see the end of the stream behind it.
func TestClientDisconnectsWhileProcessPaused(t *testing.T) {
	for name, valueBytes := range map[string]int{"small request": 1, "request of 128 KiB": 64 << 10} {
		t.Run(name, func(t *testing.T) {
			addr, queries := startServer(t)
			p := startProcess(t, addr)
			connected := connect(t, p.addr)
			var disconnecting []*peer
			for range 20 {
				disconnecting = append(disconnecting, connect(t, p.addr))
			}
			connected.send(query("warm", "read", 9000))
			nextQuery(t, queries).send(row("v"))
			connected.wantAnswer("TDCZ v")
			p.pause()
			var left sync.WaitGroup
			for n, c := range disconnecting {
				left.Go(func() {
					c.send(pgwire.AppendQuery(nil, fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('k', '\\x%s')"+
						" RETURNING content /* id=disconnected%d,c=write,d=9000,cluster=0 */", strings.Repeat("00", valueBytes), n)))
					_ = c.Close()
				})
			}
			left.Wait()
			time.Sleep(200 * time.Millisecond) // longer than the 100 ms
			p.signal(syscall.SIGCONT)
			connected.send(query("after", "read", 9000))
			q := nextQuery(t, queries)
			if !strings.Contains(q.sql, "id=after,") {
				t.Fatalf("the server received %.60q, want only the request with id \"after\"", q.sql)
			}
			q.send(row("w"))
			connected.wantAnswer("TDCZ w")
			time.Sleep(50 * time.Millisecond) // a forwarded request would arrive within this time
			if len(queries) > 0 {
				t.Errorf("the server received %d more queries of clients that had disconnected", len(queries))
			}
		})
	}
}

// pause stops the process with SIGSTOP and waits until it is stopped.
func (p *process) pause() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
		if strings.Contains(string(b), "State:\tT") {
			return
		}
		if time.Now().After(deadline) {
			p.t.Fatal("the process is not stopped")
		}
	}
}

// TestIncompleteMessageTimesOut tests that a client which sends half a message and then nothing, without closing its
// connection, receives an error within 3 s.
func TestIncompleteMessageTimesOut(t *testing.T) {
	addr, _ := startServer(t)
	p := startProcess(t, addr)
	client := connect(t, p.addr)
	startedAt := time.Now()
	client.send(query("1", "read", 9000)[:30])
	client.wantAnswer("E$ 08P01")
	if took := time.Since(startedAt); took > 3*time.Second {
		t.Errorf("the error arrived after %v, want at most 3 s", took)
	}
	_, _ = io.Copy(io.Discard, client)
}
