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

	mu         sync.Mutex
	generation int64
	list       map[string]Instance
	changed    map[string]int64
	wake       chan struct{}
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
	go http.Serve(l, d)
	return nil
}

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

func (d *Discovery) since(generation int64) (List, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := List{Generation: d.generation, Instances: []Instance{}}
	for id, at := range d.changed {
		if at > generation {
			l.Instances = append(l.Instances, d.list[id])
		}
	}
	return l, d.wake
}

// ServeHTTP implements http.Handler.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.Record.Line("discovery called: %s", r.URL)
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Query().Get("watch") == "" {
		b, _ := json.Marshal(d.Whole())
		w.Write(append(b, '\n'))
		return
	}
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	flusher := w.(http.Flusher)
	list, wake := d.since(from)
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
			list, wake = d.since(told)
			if list.Generation == told {
				if _, err := fmt.Fprint(w, "\n"); err != nil {
					return
				}
				flusher.Flush()
			}
		}
	}
}
