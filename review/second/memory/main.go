// Command memory holds a pooler up for 0.15 s while clients send writes with large values.
package main

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"second/stand"
)

const (
	clients  = 40                     // under a third of 256 descriptors
	hold     = 130 * time.Millisecond // the pages allow 0.15 s
	valueLen = 64 << 10               // the largest value of the protocol page
	memoryMB = 32                     // the least memory of the terms page
	allowed  = 150 * time.Millisecond // the longest hold-up of the pages
)

func main() { stand.Main(60*time.Second, run) }

func run(c *stand.Case) (string, error) {
	discovery := stand.NewDiscovery(c.Record, 40)
	if err := discovery.Start(); err != nil {
		return "", err
	}
	g, err := stand.StartGroup(c.Record, discovery, 2, 10*time.Millisecond, nil)
	if err != nil {
		return "", err
	}
	config := stand.Config(discovery.Addr, discovery.Whole(), 3,
		stand.Class{Name: "browse", Read: "eventual", Effect: "retryable", Aim: 200 * time.Millisecond, Deadline: 800 * time.Millisecond},
		stand.Class{Name: "submit", Read: "mutate", Effect: "fragile", Aim: 500 * time.Millisecond, Deadline: 2 * time.Second})
	config["limits"] = map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 256}
	p, err := stand.StartPooler(c.Root, c.Temp, "n1", config)
	if err != nil {
		return "", err
	}
	defer p.Kill()
	if err := p.Ready(10 * time.Second); err != nil {
		return "", err
	}
	// Each connection has had a request answered: what the terms say of the first request on a connection does not apply.
	var conns []*stand.Client
	for i := range clients {
		k, err := stand.Connect(p.Addr, 5*time.Second)
		if err != nil {
			return "", err
		}
		first := k.Do(stand.Select(fmt.Sprintf("key%d", i), fmt.Sprintf("first%d", i), "browse", 800*time.Millisecond, 0), 3*time.Second)
		if !first.Served {
			return "", fmt.Errorf("a first request: %v", first)
		}
		conns = append(conns, k)
	}
	time.Sleep(200 * time.Millisecond)
	now, _ := p.ResidentKB()
	c.Record.Say("before: the pooler has %d of %d kB", now, memoryMB<<10)

	start := time.Now()
	var tooLong atomic.Bool
	resumed := make(chan time.Time, 1)
	if c.Trouble {
		if err := p.Signal(syscall.SIGSTOP); err != nil {
			return "", err
		}
		c.Record.Line("the pooler is stopped")
		time.AfterFunc(hold, func() {
			before := time.Now()
			_ = p.Signal(syscall.SIGCONT)
			held := time.Since(start)
			c.Record.Line("the pooler goes on after %v", held)
			tooLong.Store(held > allowed)
			resumed <- before
		})
	} else {
		resumed <- time.Time{}
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var unanswered []time.Time // when the last byte of each request without an answer was written
	served, refused, failed, unsent := 0, 0, 0, 0
	for i, k := range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("write%d", i)
			message := stand.AppendQuery(nil, stand.Insert(fmt.Sprintf("key%d", i), bytes.Repeat([]byte{byte(i)}, valueLen), id, "submit",
				2*time.Second, 0))
			// The requests are spread over the hold-up, in both runs: 308 requests a second.
			time.Sleep(time.Until(start.Add(time.Duration(i) * hold / clients)))
			_, err := k.Conn.Write(message)
			written := time.Now()
			c.Record.Line("client %d wrote id=%s to its last byte: %v", i, id, err)
			_ = k.Conn.SetReadDeadline(time.Now().Add(4 * time.Second))
			a := k.Read()
			c.Record.Line("client %d id=%s: %v; received by db servers %d times", i, id, a, g.Ran(id))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				unsent++
			case a.Lost():
				unanswered = append(unanswered, written)
			case a.Code == "53300" || a.Code == "57P03":
				refused++
			case a.Code != "":
				failed++
			default:
				served++
			}
		}()
	}
	wg.Wait()
	// With the disruption, only requests count whose last byte was written while the pooler still stood: it had taken them.
	lost, goesOn := 0, <-resumed
	for _, at := range unanswered {
		if !c.Trouble || at.Before(goesOn) {
			lost++
		}
	}
	_, peak := p.ResidentKB()
	c.Record.Say("of %d writes: served %d, refused %d, failed %d, not sent whole %d, no answer %d; the pooler had at most %d kB", clients,
		served, refused, failed, unsent, lost, peak)
	if tooLong.Load() {
		return "", fmt.Errorf("the pooler was held up for over %v", allowed)
	}
	if ended, err := p.Ended(); ended {
		return fmt.Sprintf("the pooler has ended: %v", err), nil
	}
	if lost > 0 {
		return fmt.Sprintf("lost: the pooler closed %d connections whose requests it had taken, with no answer", lost), nil
	}
	return "", nil
}
