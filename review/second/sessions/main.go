// Command sessions watches a pooler's memory while most keys are new.
package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"second/stand"
)

const (
	memoryMB  = 32               // the least memory of the terms page
	keyLen    = 4 << 10          // the protocol page allows values of 64 KiB
	perSecond = 300              // requests; the terms page says 200 to 320
	clients   = 40               // under a third of 256 descriptors
	length    = 75 * time.Second // at most
	fewKeys   = 100              // sessions that come back
)

func main() { stand.Main(110*time.Second, run) }

func run(c *stand.Case) (string, error) {
	discovery := stand.NewDiscovery(c.Record, 40)
	if err := discovery.Start(); err != nil {
		return "", err
	}
	if _, err := stand.StartGroup(c.Record, discovery, 2, 5*time.Millisecond, nil); err != nil {
		return "", err
	}
	config := stand.Config(discovery.Addr, discovery.Whole(), 3,
		stand.Class{Name: "own-results", Read: "causal", Effect: "retryable", Aim: 200 * time.Millisecond, Deadline: 500 * time.Millisecond},
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
	// Each session writes once and reads once. With the disruption nine of ten sessions are new, without it none is.
	start := time.Now()
	var over atomic.Bool // the platform has killed the pooler
	var next, served, other atomic.Int64
	var wg sync.WaitGroup
	for range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			k, err := stand.Connect(p.Addr, 5*time.Second)
			for err == nil && !over.Load() {
				n := next.Add(1)
				at := start.Add(time.Duration(n) * 2 * time.Second / perSecond)
				if at.Sub(start) > length {
					return
				}
				time.Sleep(time.Until(at))
				session := n
				if !c.Trouble {
					session = n % fewKeys
				} else if n%10 == 0 {
					session = n / 10 % fewKeys
				}
				key := fmt.Sprintf("%016x", session)
				key = strings.Repeat(key, keyLen/len(key))
				for _, sql := range []string{stand.Insert(key, []byte{1}, fmt.Sprintf("write%d", n), "submit", 2*time.Second, 0),
					stand.Select(key, fmt.Sprintf("read%d", n), "own-results", 500*time.Millisecond, 0)} {
					a := k.Do(sql, 4*time.Second)
					c.Record.Line("session %d id=%s: %v", session, stand.Field(sql, "id"), a)
					if a.Served {
						served.Add(1)
						continue
					}
					other.Add(1)
					if a.Err != nil {
						k.Close()
						if !over.Load() {
							k, err = stand.Connect(p.Addr, 5*time.Second)
						}
						break
					}
				}
			}
		}()
	}
	// The platform: over its memory a pooler is killed. Only the memory that belongs to the process alone is counted here, not
	// the pages of the program's file.
	broken := ""
	for tick := 0; time.Since(start) < length; tick++ {
		time.Sleep(100 * time.Millisecond)
		anon := p.AnonymousKB()
		if tick%50 == 0 {
			c.Record.Say("after %.0f s: %d requests served, %d others; the pooler has %d of %d kB", time.Since(start).Seconds(),
				served.Load(), other.Load(), anon, memoryMB<<10)
		}
		if anon > memoryMB<<10 {
			over.Store(true)
			broken = fmt.Sprintf("crash: after %.0f s and %d sessions the pooler had %d of its %d kB and was killed", time.Since(start).Seconds(),
				next.Load(), anon, memoryMB<<10)
			p.Kill()
			break
		}
		if ended, err := p.Ended(); ended {
			over.Store(true)
			broken = fmt.Sprintf("crash: the pooler has ended: %v", err)
			break
		}
	}
	wg.Wait()
	c.Record.Say("%d sessions; %d requests served, %d others", next.Load(), served.Load(), other.Load())
	return broken, nil
}
