package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// faultDuration is the time for which a system call fails in the tests of lasting failures.
const faultDuration = 2 * time.Second

// injectFault calls the function during while system calls of the process fail. The string when selects the calls that fail,
// in the form that strace's option -e inject takes.
func (p *process) injectFault(call, errno, when string, during func()) {
	p.t.Helper()
	trace := filepath.Join(p.t.TempDir(), "trace")
	cmd := exec.Command("strace", "-f", "-o", trace, "-p", fmt.Sprint(p.cmd.Process.Pid),
		"-e", "trace="+call, "-e", "inject="+call+":error="+errno+":when="+when)
	straceOutput := &logBuffer{}
	cmd.Stderr = straceOutput
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	for deadline := time.Now().Add(testTimeout); !strings.Contains(straceOutput.String(), "attached"); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			p.t.Fatalf("strace does not attach to the process: %s", straceOutput)
		}
	}
	during()
	// If strace detached during an injected call, the call would return ENOSYS.
	if _, maxFailures, bounded := strings.Cut(when, ".."); bounded {
		p.waitForInjected(trace, maxFailures)
	}
	_ = cmd.Process.Signal(syscall.SIGTERM)
	_ = cmd.Wait()
	b, _ := os.ReadFile(trace)
	p.t.Logf("%d calls failed", strings.Count(string(b), "(INJECTED)"))
}

// waitForInjected waits until the given number of calls have failed. If the process makes fewer calls, it returns after
// faultDuration.
func (p *process) waitForInjected(trace, count string) {
	want, err := strconv.Atoi(count)
	if err != nil {
		p.t.Fatal(err)
	}
	for deadline := time.Now().Add(faultDuration); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		b, _ := os.ReadFile(trace)
		if strings.Count(string(b), "(INJECTED)") >= want {
			return
		}
	}
}

// transientErrors lists the system calls that a pooler makes while it serves, with the transient errors that Linux documents
// for them.
var transientErrors = []struct {
	call   string
	errnos []string
}{
	{"accept4", []string{"EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EPROTO", "ECONNABORTED", "EINTR", "EPERM", "ENETDOWN",
		"ENOPROTOOPT", "EHOSTDOWN", "ENONET", "EHOSTUNREACH", "EOPNOTSUPP", "ENETUNREACH"}},
	{"epoll_ctl", []string{"ENOMEM", "ENOSPC"}},
	{"epoll_wait", []string{"EINTR"}},
	{"read", []string{"EINTR", "ENOMEM", "ENOBUFS", "ETIMEDOUT", "EHOSTUNREACH"}},
	{"write", []string{"EINTR", "ENOBUFS", "ENOMEM", "EHOSTUNREACH"}},
	{"recvfrom", []string{"EINTR", "ENOMEM"}},
	{"socket", []string{"EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"}},
	{"connect", []string{"EADDRNOTAVAIL", "EINTR", "EAGAIN", "ENETUNREACH", "ETIMEDOUT", "EHOSTUNREACH"}},
	{"setsockopt", []string{"ENOBUFS", "ENOMEM"}},
	{"getsockopt", []string{"ENOBUFS"}},
	{"close", []string{"EINTR", "EIO"}},
	{"shutdown", []string{"ENOBUFS"}},
}

// TestTransientSystemCalls tests that the process survives a system call that fails once, twice, or for faultDuration. A write
// that is in flight must run once and be answered, a read on another existing connection must be answered or refused, and a
// client that connects during the failure must be served.
func TestTransientSystemCalls(t *testing.T) {
	if _, err := exec.LookPath("strace"); err != nil {
		t.Fatal("this test needs strace: ", err)
	}
	for _, f := range transientErrors {
		for _, errno := range f.errnos {
			for name, when := range map[string]string{"once": "1", "twice": "1..2", "while": "1+"} {
				if name == "while" && testing.Short() {
					continue
				}
				call, _, _ := strings.Cut(f.call, ",")
				t.Run(call+"/"+errno+"/"+name, func(t *testing.T) {
					t.Parallel()
					testFault(t, f.call, errno, when)
				})
			}
		}
	}
}

// TestBothPollersInterrupted tests that the process survives up to 200 consecutive interruptions of the polls of the event
// loop and of the Go runtime. The number is limited, and the test waits for the last one: if strace detaches during an
// injected call, the call returns ENOSYS, which Linux itself never returns here, and the Go runtime ends the process.
func TestBothPollersInterrupted(t *testing.T) {
	for _, when := range []string{"1", "1..2", "1..200"} {
		t.Run(when, func(t *testing.T) {
			t.Parallel()
			testFault(t, "epoll_wait,epoll_pwait", "EINTR", when)
		})
	}
}

// testFault injects one fault into a pooler while a write is in flight, a read is sent and a third client connects.
func testFault(t *testing.T, call, errno, when string) {
	addr, queries := startServer(t)
	p := startProcess(t, addr)
	receivedWrites := make(chan []string, 1)
	pending := make(chan receivedQuery, 1)
	go func() { // the server answers every read at once and delays the write
		var writes []string
		for q := range queries {
			switch {
			case strings.Contains(q.sql, "id=held,"):
				writes = append(writes, "held")
				pending <- q
			case strings.Contains(q.sql, "id=over,"):
				receivedWrites <- writes
				return
			case q.sql != "(gone)":
				q.send(row("w"))
			}
		}
	}()
	writer, reader := connect(t, p.addr), connect(t, p.addr)
	writer.send(query("held", "write", 19000))
	pendingQuery := <-pending
	var newClient *peer
	p.injectFault(call, errno, when, func() {
		startedAt := time.Now()
		reader.send(query("2", "read", 9000))
		newClient = dial(t, p.addr)
		newClient.send(sslRequest)
		if when == "1+" {
			time.Sleep(faultDuration - time.Since(startedAt))
			return
		}
		if b, _ := newClient.in.ReadByte(); b != 'N' {
			t.Errorf("the client that connected during the fault received %q, want 'N'", b)
		}
		reader.wantAnswerOrRefusal("TDCZ w")
	})
	if when == "1+" {
		if b, _ := newClient.in.ReadByte(); b != 'N' {
			t.Errorf("the client that connected during the fault received %q, want 'N'", b)
		}
		reader.wantAnswerOrRefusal("TDCZ w")
	}
	pendingQuery.send(row("v"))
	writer.wantAnswer("TDCZ v")
	p.wantRunning()
	writer.send(query("over", "write", 9000))
	select {
	case writes := <-receivedWrites:
		if !slices.Equal(writes, []string{"held"}) {
			t.Errorf("before the last write, the server received the writes %q, want one \"held\"", writes)
		}
	case <-time.After(testTimeout):
		t.Error("the server did not receive the last write")
	}
}

// wantAnswerOrRefusal fails the test unless the peer receives the given answer or a refusal. A refusal is correct if no server
// can be reached while system calls fail, and it is harmless.
func (p *peer) wantAnswerOrRefusal(answer string) {
	p.t.Helper()
	if got := p.readAnswer(); got != answer && got != "EZ 53300" {
		p.t.Errorf("got %q, want %q or a refusal", got, answer)
	}
}
