package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
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

// buildProgram builds the program once for all tests that run it as a separate process, and returns its path.
var buildProgram = sync.OnceValues(func() (string, error) {
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

// process is the program in a separate process, in front of one scripted server.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	config string // path of the configuration file
	addr   string
	log    *logBuffer
	exited chan struct{}
	err    error // result of Wait, valid once exited is closed
}

// logBuffer is a buffer for the output of a process. It is safe for concurrent use.
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

// startProcess runs the program with one server and waits until it serves. The options are applied before it starts.
func startProcess(t *testing.T, server string, options ...func(*process)) *process {
	t.Helper()
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, cmd: exec.Command(path, "serve"), log: &logBuffer{}, exited: make(chan struct{})}
	p.config = filepath.Join(t.TempDir(), "config.json")
	p.writeConfig(server, listen(t).Addr().String()) // the discovery server never answers
	p.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+p.config)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	for _, f := range options {
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
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if m := servingAt.FindStringSubmatch(p.log.String()); m != nil {
			p.addr = m[1]
			return p
		}
	}
	t.Fatalf("the process does not serve; its log:\n%s", p.log)
	return nil
}

// changeLimits returns an option of startProcess that sets limits in the configuration of the process.
func changeLimits(limits map[string]any) func(*process) {
	return func(p *process) {
		p.t.Helper()
		b, err := os.ReadFile(p.config)
		if err != nil {
			p.t.Fatal(err)
		}
		var tree map[string]any
		if err := json.Unmarshal(b, &tree); err != nil {
			p.t.Fatal(err)
		}
		maps.Copy(tree["limits"].(map[string]any), limits)
		if b, err = json.Marshal(tree); err != nil {
			p.t.Fatal(err)
		}
		if err := os.WriteFile(p.config, b, 0o600); err != nil {
			p.t.Fatal(err)
		}
	}
}

// memoryLimitKB returns the memory limit in the configuration file, in KiB.
func (p *process) memoryLimitKB() int {
	p.t.Helper()
	b, err := os.ReadFile(p.config)
	if err != nil {
		p.t.Fatal(err)
	}
	var tree struct {
		Limits struct {
			MemoryMB int `json:"memory_mb"`
		} `json:"limits"`
	}
	if err := json.Unmarshal(b, &tree); err != nil {
		p.t.Fatal(err)
	}
	return tree.Limits.MemoryMB << 10
}

// writeConfig writes the configuration that configJSON returns to the configuration file.
func (p *process) writeConfig(server, discovery string) {
	p.t.Helper()
	if err := os.WriteFile(p.config, configJSON(p.t, server, discovery), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// configJSON returns a configuration with one server, the primary of its group, and two classes, read and write.
func configJSON(t *testing.T, server, discovery string) []byte {
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

// signal sends the signals to the process, in order.
func (p *process) signal(signals ...syscall.Signal) {
	p.t.Helper()
	for _, s := range signals {
		if err := p.cmd.Process.Signal(s); err != nil {
			p.t.Fatal(err)
		}
	}
}

// wantCleanExit waits until the process exits and fails the test unless its status is 0.
func (p *process) wantCleanExit() {
	p.t.Helper()
	select {
	case <-p.exited:
		if p.err != nil {
			p.t.Errorf("the process ended with %v; its log:\n%s", p.err, p.log)
		}
	case <-time.After(testTimeout):
		p.t.Errorf("the process does not end; its log:\n%s", p.log)
	}
}

// wantRunning fails the test if the process has ended.
func (p *process) wantRunning() {
	p.t.Helper()
	select {
	case <-p.exited:
		p.t.Fatalf("the process has ended unexpectedly: %s; its log:\n%s", p.cmd.ProcessState, p.log)
	default:
	}
}

// lowestFreeDescriptor returns the lowest descriptor number that the process does not use. If it is set as the limit, the
// process cannot open any further descriptor.
func (p *process) lowestFreeDescriptor() uint64 {
	for n := uint64(0); ; n++ {
		if _, err := os.Lstat(fmt.Sprintf("/proc/%d/fd/%d", p.cmd.Process.Pid, n)); err != nil {
			return n
		}
	}
}

// limitDescriptors sets the soft limit on descriptors of the process and returns the previous limit.
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

// sslRequest is the message with which a client requests encryption. The pooler answers it with one byte.
var sslRequest = []byte{0, 0, 0, 8, 4, 210, 22, 47}

// TestAcceptOutOfDescriptors tests that the process continues after accept has failed with EMFILE, because a client connects
// while the descriptor limit leaves no descriptor free. The open request must be answered, and the new client must be served
// once there are descriptors again.
func TestAcceptOutOfDescriptors(t *testing.T) {
	addr, queries := startServer(t)
	p := startProcess(t, addr)
	client := connect(t, p.addr)
	client.send(query("1", "write", 19000))
	pending := nextQuery(t, queries)
	before := p.limitDescriptors(p.lowestFreeDescriptor())
	newClient := dial(t, p.addr)
	newClient.send(sslRequest)
	time.Sleep(200 * time.Millisecond) // the time for which there is no descriptor
	p.wantRunning()
	p.limitDescriptors(before)
	if b, _ := newClient.in.ReadByte(); b != 'N' {
		t.Errorf("the client that connected without free descriptors received %q, want 'N'", b)
	}
	pending.send(row("v"))
	client.wantAnswer("TDCZ v")
	p.wantRunning()
}
