package emulator

import (
	"os/exec"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestOverlappingDescriptorLimitsEnd guards against a fault that outlasts the time for which it is recorded: the second of two
// overlapping limits found the first one's limit and restored that, so that the pooler had too few descriptors for good.
func TestOverlappingDescriptorLimitsEnd(t *testing.T) {
	cmd := exec.Command("sleep", "30")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	limit := func() (l unix.Rlimit) {
		if err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, nil, &l); err != nil {
			t.Fatal(err)
		}
		return l
	}
	p := &Process{Name: "p0", cmd: cmd, state: stateUp, ledger: NewLedger()}
	before := limit()
	var faults sync.WaitGroup
	faults.Go(func() { p.limitDescriptors(0, 500*time.Millisecond) })
	for end := time.Now().Add(20 * time.Second); limit().Cur >= before.Cur; {
		if time.Now().After(end) {
			t.Fatal("the limit is not in effect")
		}
	}
	faults.Go(func() { p.limitDescriptors(0, time.Second) })
	faults.Wait()
	if after := limit(); after != before {
		t.Errorf("limit %+v after both faults, want %+v as before", after, before)
	}
}
