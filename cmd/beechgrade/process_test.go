package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// program builds the program once for all tests that run it as a process of its own.
var program = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "beechgrade")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "beechgrade")
	if out, err := exec.Command("go", "build", "-buildvcs=false", "-o", path, ".").CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return path, nil
})

// process is the program in a process of its own, with one server behind it.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	config string // path of its configuration
	addr   string
	log    *logBuffer
	exited chan struct{}
	err    error // of Wait, once exited is closed
}

// logBuffer collects what a process writes.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

var servingAt = regexp.MustCompile(`msg=serving .*listen=(\S+)`)

// startProcess runs the program before one server and waits until it serves.
func startProcess(t *testing.T, server string, change ...func(*process)) *process {
	t.Helper()
	path, err := program()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, cmd: exec.Command(path, "serve"), log: &logBuffer{}, exited: make(chan struct{})}
	p.config = filepath.Join(t.TempDir(), "config.json")
	p.configure(server, listen(t).Addr().String()) // a discovery that never answers
	p.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+p.config)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	for _, f := range change {
		f(p)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
	})
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if m := servingAt.FindStringSubmatch(p.log.String()); m != nil {
			p.addr = m[1]
			return p
		}
	}
	t.Fatalf("it does not serve: %s", p.log)
	return nil
}

// configure writes a configuration with one server, the primary of its group, and two classes, read and write.
func (p *process) configure(server, discovery string) {
	p.t.Helper()
	if err := os.WriteFile(p.config, configuration(p.t, server, discovery), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

func configuration(t *testing.T, server, discovery string) []byte {
	t.Helper()
	b, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var tree map[string]any
	if err := json.Unmarshal(b, &tree); err != nil {
		t.Fatal(err)
	}
	tree["listen"], tree["discovery"] = "127.0.0.1:0", discovery
	tree["known"] = map[string]any{"generation": 4, "reset": true, "instances": []any{map[string]any{"instanceId": "s-1",
		"hostPort": server, "lifecycle": "up", "weight": 1, "role": "primary", "zone": "room", "machineType": "small"}}}
	settings := tree["settings"].(map[string]any)
	settings["family_info"] = map[string]any{"class_read": []string{"eventual", "mutate"}, "staleness_bound_ns": []int{0, 0},
		"shows_role": "trailing", "tells_position": true}
	settings["allowed"].(map[string]any)["probes"] = false
	class := func(name, effect string) map[string]any {
		return map[string]any{"name": name, "effect": effect, "slo_ns": 2e9, "deadline_ns": 3e9, "points": 1}
	}
	settings["request_classes"] = []any{class("read", "retryable"), class("write", "fragile")}
	if b, err = json.Marshal(tree); err != nil {
		t.Fatal(err)
	}
	return b
}

// signal sends signals, in order.
func (p *process) signal(signals ...syscall.Signal) {
	p.t.Helper()
	for _, s := range signals {
		if err := p.cmd.Process.Signal(s); err != nil {
			p.t.Fatal(err)
		}
	}
}

// ends waits for the process's end and wants status 0.
func (p *process) ends() {
	p.t.Helper()
	select {
	case <-p.exited:
		if p.err != nil {
			p.t.Errorf("it ended with %v; its log:\n%s", p.err, p.log)
		}
	case <-time.After(patience):
		p.t.Errorf("it does not end; its log:\n%s", p.log)
	}
}

// alive fails the test if the process has ended.
func (p *process) alive() {
	p.t.Helper()
	select {
	case <-p.exited:
		p.t.Fatalf("the process ended by itself: %s; its log:\n%s", p.cmd.ProcessState, p.log)
	default:
	}
}

// lowestFree is the lowest number of a descriptor that the process does not hold: a limit of that leaves it none.
func (p *process) lowestFree() uint64 {
	for n := uint64(0); ; n++ {
		if _, err := os.Lstat(fmt.Sprintf("/proc/%d/fd/%d", p.cmd.Process.Pid, n)); err != nil {
			return n
		}
	}
}

// limitDescriptors sets the process's soft limit on descriptors and returns the one before.
func (p *process) limitDescriptors(limit uint64) (before uint64) {
	p.t.Helper()
	var old unix.Rlimit
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, nil, &old); err != nil {
		p.t.Fatal(err)
	}
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: limit, Max: old.Max}, nil); err != nil {
		p.t.Fatal(err)
	}
	return old.Cur
}

// encryptionRequest is a client's first message that is answered with one byte.
var encryptionRequest = []byte{0, 0, 0, 8, 4, 210, 22, 47}

// TestAcceptOutOfDescriptors: the process is at its limit of descriptors for a moment while a client connects, so that accept
// fails with EMFILE. The process stays, the request that is open has its answer, and the client that came meanwhile is served
// once there are descriptors again.
func TestAcceptOutOfDescriptors(t *testing.T) {
	addr, queries := server(t)
	p := startProcess(t, addr)
	c := client(t, p.addr)
	c.send(query("1", "write", 19000))
	held := next(t, queries)
	before := p.limitDescriptors(p.lowestFree())
	late := dial(t, p.addr)
	late.send(encryptionRequest)
	time.Sleep(200 * time.Millisecond) // for as long as descriptors are short
	p.alive()
	p.limitDescriptors(before)
	if b, _ := late.in.ReadByte(); b != 'N' {
		t.Errorf("the client that came meanwhile was told %q", b)
	}
	held.send(row("v"))
	c.want("TDCZ v")
	p.alive()
}
