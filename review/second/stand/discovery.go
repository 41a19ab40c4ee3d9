package stand

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Instance is an entry of the list.
type Instance struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
	Role        string  `json:"role,omitempty"`
}

// List is the whole list, or changes.
type List struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Discovery is a discovery service. It serves the whole list and watches.
type Discovery struct {
	Record *Record
	Addr   string
	// Before, if set, is called at the start of each call, which waits until it returns. If it returns false, the call ends with
	// 503.
	Before func(r *http.Request) bool

	mu         sync.Mutex
	generation int64
	list       map[string]Instance
	changed    map[string]int64
	wake       chan struct{}
	epoch      int // watches of an earlier epoch are silent
	server     *http.Server
}

// NewDiscovery returns a service whose list begins at a generation.
func NewDiscovery(record *Record, generation int64) *Discovery {
	return &Discovery{Record: record, generation: generation, list: map[string]Instance{}, changed: map[string]int64{},
		wake: make(chan struct{})}
}

// Start listens on a free port of the loopback address.
func (d *Discovery) Start() error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.Addr = l.Addr().String()
	d.server = &http.Server{Handler: d}
	go d.server.Serve(l)
	return nil
}

// Stop ends the service.
func (d *Discovery) Stop() { d.server.Close() }

// Set adds or changes an entry.
func (d *Discovery) Set(i Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	d.list[i.ID], d.changed[i.ID] = i, d.generation
	d.Record.Line("discovery generation %d: %s %s started %d", d.generation, i.ID, i.Lifecycle, i.StartedAtMs)
	close(d.wake)
	d.wake = make(chan struct{})
}

// Silence makes all open watches fall silent.
func (d *Discovery) Silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.epoch++
	d.Record.Line("discovery: the open watches fall silent")
}

// Whole returns the whole list.
func (d *Discovery) Whole() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := List{Generation: d.generation, Reset: true, Instances: []Instance{}}
	for _, i := range d.list {
		if i.Lifecycle != "removed" {
			l.Instances = append(l.Instances, i)
		}
	}
	return l
}

func (d *Discovery) since(generation int64) (List, chan struct{}, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := List{Generation: d.generation, Instances: []Instance{}}
	for id, at := range d.changed {
		if at > generation {
			l.Instances = append(l.Instances, d.list[id])
		}
	}
	return l, d.wake, d.epoch
}

// ServeHTTP implements http.Handler.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.Record.Line("discovery called: %s", r.URL)
	if d.Before != nil && !d.Before(r) {
		w.WriteHeader(503)
		d.Record.Line("discovery answered 503: %s", r.URL)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Query().Get("watch") == "" {
		b, _ := json.Marshal(d.Whole())
		w.Write(append(b, '\n'))
		return
	}
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	flusher := w.(http.Flusher)
	list, wake, epoch := d.since(from)
	if from == 0 {
		list = d.Whole()
	}
	for {
		b, _ := json.Marshal(list)
		if _, err := w.Write(append(b, '\n')); err != nil {
			return
		}
		flusher.Flush()
		d.Record.Line("discovery told: generation %d with %d entries", list.Generation, len(list.Instances))
		told := list.Generation
		for told == list.Generation {
			select {
			case <-r.Context().Done():
				return
			case <-wake:
			case <-time.After(2 * time.Second):
			}
			var now int
			list, wake, now = d.since(told)
			if now != epoch {
				<-r.Context().Done()
				return
			}
			if list.Generation == told {
				if _, err := fmt.Fprint(w, "\n"); err != nil {
					return
				}
				flusher.Flush()
			}
		}
	}
}
