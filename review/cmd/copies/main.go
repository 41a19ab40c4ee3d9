// Command copies is the test of db servers that send a second copy of a good answer right behind it.
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
	// clients is the number of clients of each pooler. A pooler receives about 300 requests a second.
	poolers, servers, clients = 3, 5, 60
	think                     = 150 * time.Millisecond
	length                    = 60 * time.Second
	// share is the share of the answers that bring a second copy.
	share = 0.05
	// fastest and slowest are the times that bytes take from a db server in one hall to a pooler in another.
	fastest, slowest = 700 * time.Microsecond, 1300 * time.Microsecond
)

func main() { os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")) }

func run(root, folder string, trouble bool) int {
	rec, err := stand.NewRecord(folder + "/record.txt")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer rec.Close()
	wrong, err := play(rec, root, trouble)
	if err != nil {
		rec.Say("cannot run: %v", err)
		return 2
	}
	if wrong > 0 {
		return 1
	}
	return 0
}

// path carries what a db server writes on one connection to the pooler: in order, and each piece after a time of its own
// between fastest and slowest.
type path struct {
	pieces chan piece
}

type piece struct {
	bytes []byte
	at    time.Time // when it arrives, unless an earlier one arrives later
}

func newPath(c *stand.ServerConn) *path {
	p := &path{pieces: make(chan piece, 16)}
	go func() {
		for x := range p.pieces {
			time.Sleep(time.Until(x.at))
			if _, err := c.Write(x.bytes); err != nil {
				for range p.pieces { // until the program ends
				}
			}
		}
	}()
	return p
}

func (p *path) write(b []byte) {
	p.pieces <- piece{b, time.Now().Add(fastest + time.Duration(rand.Int64N(int64(slowest-fastest))))}
}

func play(rec *stand.Record, root string, trouble bool) (int64, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	var copies, wrong, wrongWrites atomic.Int64
	var list []stand.Instance
	var paths sync.Map
	for i := range servers {
		role := "replica"
		if i == 0 {
			role = "primary"
		}
		s := &stand.Server{ID: fmt.Sprintf("s-%d", i)}
		position := func() time.Time {
			if role == "primary" {
				return time.Now()
			}
			return time.Now().Add(-8 * time.Millisecond)
		}
		s.Load = func() string { return stand.LoadReport(position(), role == "primary") }
		s.Query = func(c *stand.ServerConn, q stand.Query) {
			rec.Add("%s connection %d got %s %s", s.ID, c.N, q.Class, q.ID)
			work := 32 + rand.IntN(23)
			if q.Write {
				work = 47 + rand.IntN(35)
			}
			time.Sleep(time.Duration(work) * time.Millisecond)
			at := position().UnixMilli()
			b := stand.Answer([]byte("made for "+q.ID), role, at, q.Write)
			if q.Write && role != "primary" {
				b = stand.Miss("25006", "this is no primary", role, at)
			}
			way, ok := paths.Load(c)
			if !ok { // one statement at a time, so no other call stores one for this connection
				way = newPath(c)
				paths.Store(c, way)
			}
			// The copy is written together with the answer, so nothing else waits on the connection.
			way.(*path).write(b)
			if trouble && rand.Float64() < share {
				way.(*path).write(b)
				copies.Add(1)
				rec.Add("%s connection %d answered %s, and sent a second copy right behind", s.ID, c.N, q.ID)
				return
			}
			rec.Add("%s connection %d answered %s", s.ID, c.N, q.ID)
		}
		if err := s.Listen(); err != nil {
			return 0, err
		}
		defer s.Close()
		list = append(list, stand.Instance{ID: s.ID, HostPort: s.Addr, Zone: "hall-chuo", MachineType: "std-11", Lifecycle: "up",
			Weight: 1, Role: role})
	}
	d, err := stand.NewDiscovery(list)
	if err != nil {
		return 0, err
	}
	defer d.Close()
	var processes []*stand.Pooler
	for n := range poolers {
		settings := stand.Settings(stand.SmallClasses, poolers, "await")
		settings["slot_no"], settings["zones"] = n, []string{"hall-kita", "hall-chuo"}
		p, err := stand.StartPooler(root, dir, fmt.Sprintf("n%d", n+1), d.Addr,
			map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, settings, d.Full())
		if p != nil {
			defer p.Kill()
		}
		if err != nil {
			return 0, err
		}
		processes = append(processes, p)
	}
	var served, other atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(length)
	for i := range poolers * clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var c *stand.Client
			for n := 0; time.Now().Before(end); n++ {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(think)))
				if c == nil {
					var err error
					if c, err = stand.Connect(processes[i%poolers].Listen, time.Second); err != nil {
						c = nil
						continue
					}
				}
				k := stand.SmallClasses[0]
				switch x := rand.Float64(); {
				case x < 0.05:
					k = stand.SmallClasses[4]
				case x < 0.45:
					k = stand.SmallClasses[1]
				}
				id, key := fmt.Sprintf("%08x%08x", i, n), fmt.Sprintf("key%d", i)
				sql := stand.Select(key, id, k.Name, k.DeadlineMs, 0)
				if k.Name == "submit" {
					sql = stand.Insert(key, "9f03", id, k.Name, k.DeadlineMs, 0)
				}
				rec.Add("client %d sends %s %s", i, k.Name, id)
				if c.Send(sql) != nil {
					c.Close()
					c = nil
					continue
				}
				res := c.Await(time.Duration(k.DeadlineMs+500) * time.Millisecond)
				rec.Add("client %d: %s %s %q", i, id, res.How, res.Value)
				switch {
				case res.How == "served" && string(res.Value) != "made for "+id:
					rec.Say("client %d: %s %s was served with %q", i, k.Name, id, res.Value)
					if wrong.Add(1); k.Name == "submit" {
						wrongWrites.Add(1)
					}
				case res.How == "served":
					served.Add(1)
				default:
					other.Add(1)
				}
				if res.How == "none" {
					c.Close()
					c = nil
				}
			}
			if c != nil {
				c.Close()
			}
		}()
	}
	wg.Wait()
	rec.Say("served %d, second copies %d, served with another request's value %d (%d of them writes), other ends %d",
		served.Load(), copies.Load(), wrong.Load(), wrongWrites.Load(), other.Load())
	return wrong.Load(), nil
}
