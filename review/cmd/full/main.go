// Command full is the test of poolers on a day with more than twice the requests, while a third of the new connections to db
// servers come up late. The poolers then hold as many connections to db servers as they may.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"review/stand"
)

const (
	// sockets is the limit of descriptors of a pooler. At most a third of them are from clients that send requests.
	sockets         = 256
	groups, members = 5, 6
	poolers         = 3
	// load is how long the clients send requests at most.
	load = 86 * time.Second
	// latest is the longest time by which a late connection comes up later than others.
	latest = 300 * time.Millisecond
	// spin is how long a thread may neither wait nor end.
	spin = 20 * time.Second
)

// classes are the classes of the deployment. Their aims fit the time that a db server takes for a request.
var classes = []stand.Class{
	{Name: "browse", Read: "lag_bound", Effect: "retryable", BoundMs: 200, AimMs: 600, DeadlineMs: 1600, Points: 1},
	{Name: "own-results", Read: "causal", Effect: "retryable", AimMs: 600, DeadlineMs: 1200, Points: 1},
	{Name: "submit", Read: "mutate", Effect: "fragile", AimMs: 1000, DeadlineMs: 2000, Points: 6},
}

func main() { os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")) }

func run(root, folder string, trouble bool) int {
	rec, err := stand.NewRecord(folder + "/record.txt")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer rec.Close()
	broken, err := play(rec, root, trouble)
	if err != nil {
		rec.Say("cannot run: %v", err)
		return 2
	}
	if broken {
		return 1
	}
	return 0
}

func play(rec *stand.Record, root string, trouble bool) (bool, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	var list []stand.Instance
	var dials, lates atomic.Int64
	for i := range groups * members {
		role := "replica"
		if i%members == 0 {
			role = "primary"
		}
		s := &stand.Server{ID: fmt.Sprintf("s-%d", i)}
		lag := time.Duration(5+rand.IntN(8)) * time.Millisecond
		if role == "primary" {
			lag = 0
		}
		s.Startup = func(c *stand.ServerConn) {
			dials.Add(1)
			if !trouble || rand.IntN(3) != 0 {
				return
			}
			lates.Add(1)
			d := time.Duration(rand.Int64N(int64(latest)))
			rec.Add("%s: connection %d comes up %v late", s.ID, c.N, d.Round(time.Millisecond))
			time.Sleep(d)
		}
		s.Load = func() string { return stand.LoadReport(time.Now().Add(-lag), role == "primary") }
		s.Query = func(c *stand.ServerConn, q stand.Query) {
			rec.Add("%s got %s %s", s.ID, q.Class, q.ID)
			time.Sleep(time.Duration(130+rand.IntN(90)) * time.Millisecond)
			at := time.Now().Add(-lag).UnixMilli()
			b := stand.Answer([]byte("made for "+q.ID), role, at, q.Write)
			if q.Write && role != "primary" {
				b = stand.Miss("25006", "this is no primary", role, at)
			}
			_, _ = c.Write(b)
		}
		if err := s.Listen(); err != nil {
			return false, err
		}
		defer s.Close()
		list = append(list, stand.Instance{ID: s.ID, HostPort: s.Addr, Zone: "hall-kita", Cell: i / members,
			MachineType: "std-11", Lifecycle: "up", Weight: 1, Role: role})
	}
	d, err := stand.NewDiscovery(list)
	if err != nil {
		return false, err
	}
	defer d.Close()
	clients, think := 40, 40*time.Millisecond // about 190 requests a second at each pooler
	if trouble {
		clients, think = 85, 5*time.Millisecond // about 450
	}
	var stop, lost atomic.Bool
	var wg sync.WaitGroup
	var processes []*stand.Pooler
	var counts [poolers]sync.Map
	end := time.Now().Add(load + 2*time.Second)
	for n := range poolers {
		settings := stand.Settings(classes, poolers, "none")
		settings["slot_no"] = n
		p, err := stand.StartPooler(root, dir, fmt.Sprintf("n%d", n+1), d.Addr,
			map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": sockets}, settings, d.Full())
		if p != nil {
			defer p.Kill()
		}
		if err != nil {
			return false, err
		}
		processes = append(processes, p)
	}
	for n, p := range processes {
		for i := range clients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				client(rec, p, n, i, think, &counts[n], &lost, func() bool { return stop.Load() || time.Now().After(end) })
			}()
		}
	}
	for time.Now().Before(end) && !lost.Load() {
		time.Sleep(100 * time.Millisecond)
		for n, p := range processes {
			if p.Exited() {
				rec.Say("n%d has ended", n+1)
				return true, nil
			}
		}
	}
	if lost.Load() {
		rec.Say("a request has no answer half a second after its time, %.1f s after the start", rec.Ms(time.Now())/1000)
	}
	hung := -1
	if lost.Load() {
		// Which pooler answers nothing for as long as a thread may neither wait nor end?
		var answers [poolers]atomic.Int64
		before, start := make([]time.Duration, poolers), time.Now()
		var tries sync.WaitGroup
		for n, p := range processes {
			before[n] = p.CPU()
			tries.Add(1)
			go func() {
				defer tries.Done()
				for time.Since(start) < spin {
					if c, err := stand.Connect(p.Listen, 2*time.Second); err == nil {
						answers[n].Add(1)
						c.Close()
						time.Sleep(time.Second)
					}
				}
			}()
		}
		tries.Wait()
		for n, p := range processes {
			rec.Say("n%d in the %.1f s since: empty queries answered %d, used %v of the processor", n+1,
				time.Since(start).Seconds(), answers[n].Load(), p.CPU()-before[n])
			if answers[n].Load() == 0 {
				hung = n
			}
		}
	}
	stop.Store(true)
	for n := range processes {
		text := ""
		counts[n].Range(func(k, v any) bool { text += fmt.Sprintf(" %v %d", k, v.(*atomic.Int64).Load()); return true })
		rec.Say("n%d:%s", n+1, text)
	}
	rec.Say("connections to db servers %d, late ones %d", dials.Load(), lates.Load())
	if hung >= 0 {
		rec.Say("n%d hangs: it answered nothing for %v, and requests that it has taken are lost", hung+1, spin)
		return true, nil
	}
	if lost.Load() {
		return false, fmt.Errorf("a request had no answer in time, but no pooler hangs")
	}
	return false, nil
}

// client sends requests, one after the other.
func client(rec *stand.Record, p *stand.Pooler, pooler, number int, think time.Duration, counts *sync.Map, lost *atomic.Bool, done func() bool) {
	var c *stand.Client
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for n := 0; !done(); n++ {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(think)))
		if c == nil {
			var err error
			if c, err = stand.Connect(p.Listen, time.Second); err != nil {
				c = nil
				continue
			}
		}
		k := classes[0]
		switch x := rand.Float64(); {
		case x < 0.03:
			k = classes[2]
		case x < 0.15:
			k = classes[1]
		}
		id, key := fmt.Sprintf("%02x%06x%08x", pooler, number, n), fmt.Sprintf("key%d-%d", pooler, number)
		sql := stand.Select(key, id, k.Name, k.DeadlineMs, rand.IntN(groups))
		if k.Read == "mutate" {
			sql = stand.Insert(key, "9f03", id, k.Name, k.DeadlineMs, rand.IntN(groups))
		}
		rec.Add("client %d of n%d sends %s %s", number, pooler+1, k.Name, id)
		if c.Send(sql) != nil {
			c.Close()
			c = nil
			continue
		}
		res := c.Await(time.Duration(k.DeadlineMs+700) * time.Millisecond)
		how := res.How
		if how == "none" {
			how = res.Text
			if res.Text == "no answer in time" {
				lost.Store(true)
			} else {
				how = "connection closed between requests"
			}
			c.Close()
			c = nil
		}
		rec.Add("client %d of n%d: %s %s", number, pooler+1, id, how)
		v, _ := counts.LoadOrStore(how, &atomic.Int64{})
		v.(*atomic.Int64).Add(1)
	}
}
