// Command gone has clients leave while a pooler is held up for 0.15 s.
package main

import (
	"bytes"
	"fmt"
	"sync"
	"syscall"
	"time"

	"second/stand"
)

const (
	rounds   = 5
	clients  = 40                     // under a third of 256 descriptors
	hold     = 147 * time.Millisecond // the pages allow 0.15 s
	allowed  = 150 * time.Millisecond // the longest hold-up of the pages
	valueLen = 64 << 10               // the largest value of the protocol page
	// limit is the 0.1 s of the page and the 50 ms by which time limits are longer on sockets.
	limit = 150 * time.Millisecond
)

func main() { stand.Main(60*time.Second, run) }

func run(c *stand.Case) (string, error) {
	discovery := stand.NewDiscovery(c.Record, 40)
	if err := discovery.Start(); err != nil {
		return "", err
	}
	var mu sync.Mutex
	closed := map[string]time.Time{}
	reached := map[int][]time.Duration{} // by round: how long after its client's close each request reached a db server
	_, err := stand.StartGroup(c.Record, discovery, 2, 5*time.Millisecond, func(q stand.Query) {
		mu.Lock()
		defer mu.Unlock()
		at, ok := closed[q.ID]
		if !ok {
			return
		}
		after, round := q.Received.Sub(at), 0
		c.Record.Line("id=%s reached a db server %v after its client had closed", q.ID, after)
		_, _ = fmt.Sscanf(q.ID, "write%d-", &round)
		reached[round] = append(reached[round], after)
	})
	if err != nil {
		return "", err
	}
	config := stand.Config(discovery.Addr, discovery.Whole(), 3,
		stand.Class{Name: "submit", Read: "mutate", Effect: "fragile", Aim: 500 * time.Millisecond, Deadline: 2 * time.Second})
	config["limits"] = map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 256}
	p, err := stand.StartPooler(c.Root, c.Temp, "n1", config)
	if err != nil {
		return "", err
	}
	defer p.Kill()
	if err := p.Ready(10 * time.Second); err != nil {
		return "", err
	}
	var wg sync.WaitGroup
	held := [rounds]time.Duration{}
	for round := range rounds {
		var conns []*stand.Client
		var messages [][]byte
		for i := range clients {
			k, err := stand.Connect(p.Addr, 5*time.Second)
			if err != nil {
				return "", err
			}
			conns = append(conns, k)
			messages = append(messages, stand.AppendQuery(nil, stand.Insert(fmt.Sprintf("key%d", i), bytes.Repeat([]byte{byte(i)}, valueLen),
				fmt.Sprintf("write%d-%d", round, i), "submit", 2*time.Second, 0)))
		}
		for i, k := range conns { // an ordinary write each
			wg.Add(1)
			go func() {
				defer wg.Done()
				a := k.Do(stand.Insert("key", []byte{1}, fmt.Sprintf("first%d-%d", round, i), "submit", 2*time.Second, 0), 3*time.Second)
				c.Record.Line("id=first%d-%d: %v", round, i, a)
			}()
		}
		wg.Wait()
		time.Sleep(200 * time.Millisecond)
		start := time.Now()
		if c.Trouble {
			if err := p.Signal(syscall.SIGSTOP); err != nil {
				return "", err
			}
			c.Record.Line("the pooler is stopped")
			wg.Add(1)
			time.AfterFunc(hold, func() {
				_ = p.Signal(syscall.SIGCONT)
				held[round] = time.Since(start)
				c.Record.Line("the pooler goes on after %v", held[round])
				wg.Done()
			})
		}
		for i, k := range conns {
			wg.Add(1)
			go func() {
				defer wg.Done()
				id := fmt.Sprintf("write%d-%d", round, i)
				_, err := k.Conn.Write(messages[i])
				k.Close()
				mu.Lock()
				closed[id] = time.Now()
				mu.Unlock()
				c.Record.Line("client %d wrote id=%s and closed: %v", i, id, err)
			}()
		}
		wg.Wait()
		time.Sleep(500 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	counted, ran, over100, over150 := 0, 0, 0, 0
	var worst time.Duration
	for round := range rounds {
		if held[round] > allowed { // the machine was late
			c.Record.Say("round %d is not counted: the pooler was held up for %v", round, held[round])
			continue
		}
		counted++
		for _, after := range reached[round] {
			ran++
			worst = max(worst, after)
			if after > 100*time.Millisecond {
				over100++
			}
			if after > limit {
				over150++
			}
		}
	}
	c.Record.Say("of %d writes whose clients had left: %d reached a db server after the close, %d over 0.1 s and %d over 0.15 s after it; the last %v after it",
		counted*clients, ran, over100, over150, worst)
	if counted == 0 {
		return "", fmt.Errorf("the pooler was held up for over %v in each round", allowed)
	}
	if over150 > 0 {
		return fmt.Sprintf("lost: %d attempts began more than %v after their clients had closed", over150, limit), nil
	}
	return "", nil
}
