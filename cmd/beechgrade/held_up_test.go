package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// logPipe gives the process a pipe for its log and waits until it serves.
func logPipe(t *testing.T, server string, verbose bool) (p *process, read *os.File) {
	t.Helper()
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = read.Close() })
	served := make(chan struct{})
	p = startProcess(t, server, func(p *process) {
		if verbose {
			p.cmd.Args = []string{p.cmd.Args[0], "--verbose", "serve"}
		}
		p.cmd.Stdout, p.cmd.Stderr = write, write
		go func() { // up to the line that says where it serves
			for lines := bufio.NewScanner(read); lines.Scan(); {
				fmt.Fprintln(p.log, lines.Text())
				if servingAt.MatchString(lines.Text()) {
					break
				}
			}
			close(served)
		}()
	})
	_ = write.Close()
	<-served
	return p, read
}

// TestLogStreamBreaks: nobody reads the log any more. Writing to it must not end the process.
func TestLogStreamBreaks(t *testing.T) {
	addr, queries := server(t)
	p, read := logPipe(t, addr, true)
	_ = read.Close()
	for n := range 20 {
		c := client(t, p.addr)
		c.send(query(fmt.Sprint(n), "read", 9000))
		next(t, queries).send(row("v"))
		c.want("TDCZ v")
		_ = c.Close()
		p.signal(syscall.SIGHUP)
	}
	p.alive()
	p.signal(syscall.SIGTERM)
	p.ends()
}

// TestLogStreamBlocks: the log's reader stands still, and more is logged than a pipe holds. Clients are served as ever.
func TestLogStreamBlocks(t *testing.T) {
	addr, queries := server(t)
	p, _ := logPipe(t, addr, true)
	for n := range 1500 { // two lines each, of over 60 bytes
		c := client(t, p.addr)
		c.send(query(fmt.Sprint(n), "nothing", 9000))
		c.want("EZ 42601")
		c.send([]byte("X\x00\x00\x00\x04"))
		c.want("$")
	}
	c := client(t, p.addr)
	c.send(query("last", "read", 9000))
	next(t, queries).send(row("v"))
	c.want("TDCZ v")
	p.signal(syscall.SIGTERM)
	p.ends()
}

// TestReloadOutlastsFaults: a new configuration that cannot be read at the moment it is announced, as the file is half written or the
// process is out of descriptors, is taken once it can be.
func TestReloadOutlastsFaults(t *testing.T) {
	for name, announce := range map[string]func(t *testing.T, p *process, whole []byte){
		"half written": func(t *testing.T, p *process, whole []byte) {
			if err := os.WriteFile(p.config, whole[:len(whole)/2], 0o600); err != nil {
				t.Fatal(err)
			}
			p.signal(syscall.SIGHUP)
			p.says("tried again")
			if err := os.WriteFile(p.config, whole, 0o600); err != nil {
				t.Fatal(err)
			}
		},
		"not there": func(t *testing.T, p *process, whole []byte) {
			_ = os.Remove(p.config)
			p.signal(syscall.SIGHUP)
			p.says("tried again")
			if err := os.WriteFile(p.config, whole, 0o600); err != nil {
				t.Fatal(err)
			}
		},
		"out of descriptors": func(t *testing.T, p *process, whole []byte) {
			if err := os.WriteFile(p.config, whole, 0o600); err != nil {
				t.Fatal(err)
			}
			before := p.limitDescriptors(p.lowestFree())
			p.signal(syscall.SIGHUP)
			p.says("tried again")
			p.limitDescriptors(before)
		},
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := server(t)
			p := startProcess(t, addr)
			called := make(chan struct{}, 9)
			moved := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				called <- struct{}{}
				<-r.Context().Done()
			}))
			t.Cleanup(func() { moved.CloseClientConnections(); moved.Close() })
			announce(t, p, configuration(t, addr, moved.Listener.Addr().String()))
			select {
			case <-called:
			case <-time.After(patience):
				t.Errorf("the new discovery is not called; the log:\n%s", p.log)
			}
		})
	}
}

// says waits for words in the log.
func (p *process) says(words string) {
	p.t.Helper()
	for end := time.Now().Add(patience); !strings.Contains(p.log.String(), words); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("it never says %q; its log:\n%s", words, p.log)
		}
	}
}

// TestSignalsInSeries: signals come one upon the other, before and during a drain. The request that is open is answered, one that
// comes during the drain too, and the process ends once, well.
func TestSignalsInSeries(t *testing.T) {
	addr, queries := server(t)
	p := startProcess(t, addr)
	c := client(t, p.addr)
	c.send(query("1", "write", 2000))
	held := next(t, queries)
	for range 5 {
		p.signal(syscall.SIGHUP)
		time.Sleep(50 * time.Millisecond)
	}
	p.signal(syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	p.says("to=draining")
	late := client(t, p.addr)
	late.send(query("2", "read", 2000))
	next(t, queries).send(row("w"))
	late.want("TDCZ w")
	p.signal(syscall.SIGTERM, syscall.SIGHUP)
	held.send(row("v"))
	c.want("TDCZ v")
	c.want("$")
	late.want("$")
	p.ends()
	if strings.Count(p.log.String(), "to=draining") != 1 || !strings.Contains(p.log.String(), "unanswered=0") {
		t.Errorf("its log:\n%s", p.log)
	}
}

// TestHeldUpWhileAClientGoes: the process stands still while a client asks and goes. When it runs again, the client has been gone for
// longer than an attempt may begin after, so its request is sent to nobody.
func TestHeldUpWhileAClientGoes(t *testing.T) {
	addr, queries := server(t)
	p := startProcess(t, addr)
	standing, goes := client(t, p.addr), client(t, p.addr)
	standing.send(query("warm", "read", 9000))
	next(t, queries).send(row("v"))
	standing.want("TDCZ v")
	p.stand()
	goes.send(query("gone", "write", 9000))
	_ = goes.Close()
	time.Sleep(200 * time.Millisecond) // the span is what the rule is about
	p.signal(syscall.SIGCONT)
	standing.send(query("after", "read", 9000))
	q := next(t, queries)
	if !strings.Contains(q.sql, "id=after,") {
		t.Fatalf("the server is asked %q", q.sql)
	}
	q.send(row("w"))
	standing.want("TDCZ w")
}

// stand stops the process and waits until it stands.
func (p *process) stand() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
		if strings.Contains(string(b), "State:\tT") {
			return
		}
		if time.Now().After(end) {
			p.t.Fatal("the process does not stand")
		}
	}
}

// TestHalfAMessageThenSilence: a client stops in the midst of a request and stays. It has its error within the 3 s that such clients
// are owed.
func TestHalfAMessageThenSilence(t *testing.T) {
	addr, _ := server(t)
	p := startProcess(t, addr)
	c := client(t, p.addr)
	began := time.Now()
	c.send(query("1", "read", 9000)[:30])
	c.want("E$ 08P01")
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("it took %v", took)
	}
	_, _ = io.Copy(io.Discard, c)
}
