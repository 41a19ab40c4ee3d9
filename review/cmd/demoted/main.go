// Command demoted is the test of reads that wait for a connection to a primary which is none any more.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"review/stand"
)

const (
	rounds = 5
	// servers is the size of the group; one of them, a fifth, falls silent.
	servers = 5
	// work is the time that a db server takes for one request.
	work = 40 * time.Millisecond
	// late is the time after which one connection of three comes up, within the connect time-out of 250 ms.
	late = 220 * time.Millisecond
	// known is the time after which what an answer tells counts as known: 100 ms, and the 50 ms by which each limit is longer on
	// sockets.
	known = 150 * time.Millisecond
	// silent is how long the primary says nothing, and elected when another one has taken over.
	silent, elected = 6 * time.Second, 3500 * time.Millisecond
	// replay is how fast a replica that is behind applies the log: it is busy for 0.58 of the time when it follows.
	replay = 1 / 0.58
)

// member is a db server of the group.
type member struct {
	*stand.Server
	mu      sync.Mutex
	primary bool
	hung    bool
	base    time.Time // the position that it had when it came back, zero if it was never away
	back    time.Time
	told    time.Time // when the first whole answer was written that says replica
}

// state returns the role and the position.
func (m *member) state() (primary bool, position time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	switch {
	case m.primary:
		return true, now
	case m.base.IsZero():
		return false, now.Add(-8 * time.Millisecond)
	}
	position = m.base.Add(time.Duration(float64(now.Sub(m.back)) * replay))
	if follows := now.Add(-8 * time.Millisecond); position.After(follows) {
		position = follows
	}
	return false, position
}

// wait returns once the server does not hang.
func (m *member) wait() {
	for {
		m.mu.Lock()
		hung := m.hung
		m.mu.Unlock()
		if !hung {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func main() { os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")) }

func run(root, folder string, trouble bool) int {
	rec, err := stand.NewRecord(folder + "/record.txt")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer rec.Close()
	broken := 0
	for round := range rounds {
		stale, err := play(rec, root, round, trouble)
		if err != nil {
			rec.Say("cannot run: %v", err)
			return 2
		}
		broken += stale
	}
	rec.Say("%d rounds, %d reads answered from data that is too old", rounds, broken)
	if broken > 0 {
		return 1
	}
	return 0
}

// play plays one round with a pooler and servers of its own, and returns the number of reads that break the rule.
func play(rec *stand.Record, root string, round int, trouble bool) (int, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	var mu sync.Mutex
	var commit time.Time // the last commit of the group
	arrived := map[string]time.Time{}
	stale := 0
	var members []*member
	var list []stand.Instance
	for i := range servers {
		m := &member{Server: &stand.Server{ID: fmt.Sprintf("s-%d", i)}, primary: i == 0}
		m.Startup = func(c *stand.ServerConn) {
			m.wait()
			if trouble && m.ID == "s-0" && c.N%3 == 0 {
				rec.Add("s-0: connection %d comes up %v late", c.N, late)
				time.Sleep(late)
			}
		}
		m.Load = func() string {
			m.wait()
			primary, position := m.state()
			return stand.LoadReport(position, primary)
		}
		m.Query = func(c *stand.ServerConn, q stand.Query) {
			at := time.Now()
			m.wait()
			primary, position := m.state()
			role := "replica"
			if primary {
				role = "primary"
			}
			rec.Add("%s (%s, position %.0f) got %s %s on connection %d", m.ID, role, rec.Ms(position), q.Class, q.ID, c.N)
			if q.Write && !primary {
				_, _ = c.Write(stand.Miss("25006", "this is no primary", role, position.UnixMilli()))
				rec.Add("%s answered %s: 25006", m.ID, q.ID)
				return
			}
			time.Sleep(work)
			primary, position = m.state()
			if !primary {
				role = "replica"
			}
			notes := position.UnixMilli()
			if q.Write {
				mu.Lock()
				commit = time.Now()
				notes = commit.UnixMilli() + 1
				mu.Unlock()
			}
			mu.Lock()
			needed := commit
			if commit.After(arrived[q.ID]) {
				needed = time.Time{} // the commits before the arrival are not kept; this one came later
			}
			mu.Unlock()
			m.mu.Lock()
			told := m.told
			if role == "replica" && m.told.IsZero() {
				m.told = time.Now()
			}
			m.mu.Unlock()
			closes := role == "replica" && m.ID == "s-0" // after an answer a db server may close
			if closes {
				c.Cork()
			}
			_, _ = c.Write(stand.Answer([]byte("made for "+q.ID), role, notes, q.Write))
			if closes {
				_ = c.Close()
			}
			rec.Add("%s answered %s as %s with position %.0f; closed: %v", m.ID, q.ID, role, rec.Ms(position), closes)
			if q.Class == "deadline-check" && !primary && !needed.IsZero() && position.Before(needed) {
				if !told.IsZero() && at.Sub(told) > known {
					mu.Lock()
					stale++
					mu.Unlock()
					rec.Say("round %d: %s was sent to %s, which had said %.0f ms before that it is a replica, and answered from data of %.0f, before the commit at %.0f",
						round, q.ID, m.ID, float64(at.Sub(told).Microseconds())/1000, rec.Ms(position), rec.Ms(needed))
				} else {
					rec.Add("%s is answered from old data, and excused: the pooler was not told yet", q.ID)
				}
			}
		}
		if err := m.Listen(); err != nil {
			return 0, err
		}
		defer m.Close()
		members = append(members, m)
		role := "replica"
		if i == 0 {
			role = "primary"
		}
		list = append(list, stand.Instance{ID: m.ID, HostPort: m.Addr, Zone: "hall-kita", MachineType: "std-11",
			Lifecycle: "up", Weight: 1, Role: role})
	}
	d, err := stand.NewDiscovery(list)
	if err != nil {
		return 0, err
	}
	defer d.Close()
	p, err := stand.StartPooler(root, dir, "n1", d.Addr, map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		stand.Settings(stand.SmallClasses, 1, "none"), d.Full())
	if p != nil {
		defer p.Kill()
	}
	if err != nil {
		return 0, err
	}
	var clients []*stand.Client
	for range 4 {
		c, err := stand.Connect(p.Listen, time.Second)
		if err != nil {
			return 0, err
		}
		defer c.Close()
		clients = append(clients, c)
	}
	request := func(c *stand.Client, n int, class string, limitMs int) stand.Result {
		id := fmt.Sprintf("%08x%08x", round, n)
		sql := stand.Select("k1", id, class, limitMs, 0)
		if class == "submit" {
			sql = stand.Insert("k1", "9f03", id, class, limitMs, 0)
		}
		mu.Lock()
		arrived[id] = time.Now()
		mu.Unlock()
		rec.Add("client sends %s %s", class, id)
		if err := c.Send(sql); err != nil {
			return stand.Result{How: "none", Text: err.Error()}
		}
		res := c.Await(time.Duration(limitMs+500) * time.Millisecond)
		rec.Add("client: %s %s %s %s", class, id, res.How, res.Text)
		return res
	}
	// Usual work: a write and a fresh read, one after the other, so one connection to the primary is open and rests.
	time.Sleep(300 * time.Millisecond)
	if res := request(clients[0], 1, "submit", 2000); res.How != "served" {
		return 0, fmt.Errorf("the first write ended as %s %s", res.How, res.Text)
	}
	fresh := func(first, count int) {
		var wg sync.WaitGroup
		for i := range count {
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				request(clients[i], first+i, "deadline-check", 750)
			}()
		}
		wg.Wait()
	}
	fresh(2, 2)
	if trouble {
		// The primary falls silent and is given up. s-1 takes over, and takes the writes that come through other poolers. This
		// pooler gets no requests meanwhile. Then s-0 is back as a replica, and goes on from where it stood.
		a, b := members[0], members[1]
		start := time.Now()
		a.mu.Lock()
		a.primary, a.hung = false, true
		a.mu.Unlock()
		rec.Add("s-0 falls silent")
		time.Sleep(time.Until(start.Add(elected)))
		b.mu.Lock()
		b.primary = true
		b.mu.Unlock()
		rec.Add("s-1 is the primary")
		time.Sleep(time.Until(start.Add(silent - 100*time.Millisecond)))
		mu.Lock()
		commit = time.Now()
		mu.Unlock()
		rec.Add("s-1 commits a write of another pooler")
		time.Sleep(time.Until(start.Add(silent)))
		a.mu.Lock()
		// Nothing was committed until s-1 took over, so the log up to there is empty.
		a.hung, a.base, a.back = false, start.Add(elected), time.Now()
		a.mu.Unlock()
		rec.Add("s-0 is back, as a replica that applies the log from %.0f on", rec.Ms(a.base))
		time.Sleep(20 * time.Millisecond)
	} else {
		time.Sleep(silent)
	}
	fresh(10, 3)
	mu.Lock()
	defer mu.Unlock()
	return stale, nil
}
