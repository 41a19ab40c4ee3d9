package stand

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// Instance is an entry of the server list.
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

// List is a list as discovery writes it.
type List struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Discovery is the discovery service.
type Discovery struct {
	Addr string

	mu         sync.Mutex
	list       map[string]Instance
	changed    map[string]int
	generation int
	notify     chan struct{}
	server     *http.Server
}

// NewDiscovery starts discovery with the given instances on a free port.
func NewDiscovery(instances []Instance) (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: l.Addr().String(), list: map[string]Instance{}, changed: map[string]int{}, notify: make(chan struct{})}
	for _, i := range instances {
		d.Set(i)
	}
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: time.Second}
	go func() { _ = d.server.Serve(l) }()
	return d, nil
}

// Close ends discovery.
func (d *Discovery) Close() { _ = d.server.Close() }

// Set adds or changes an instance. Lifecycle "removed" removes it.
func (d *Discovery) Set(i Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	d.list[i.ID], d.changed[i.ID] = i, d.generation
	close(d.notify)
	d.notify = make(chan struct{})
}

// Full returns the whole list.
func (d *Discovery) Full() List {
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

func (d *Discovery) since(from int) (List, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := List{Generation: d.generation, Instances: []Instance{}}
	for id, g := range d.changed {
		if g > from {
			l.Instances = append(l.Instances, d.list[id])
		}
	}
	return l, d.notify
}

// ServeHTTP implements http.Handler.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "" {
		_ = json.NewEncoder(w).Encode(d.Full())
		return
	}
	from := 0
	_ = json.Unmarshal([]byte(r.URL.Query().Get("from")), &from)
	for first := true; ; first = false {
		l, notify := d.since(from)
		if first && from == 0 {
			l = d.Full()
		}
		if l.Generation > from {
			_ = json.NewEncoder(w).Encode(l)
			from = l.Generation
		} else {
			_, _ = w.Write([]byte("\n"))
		}
		w.(http.Flusher).Flush()
		select {
		case <-notify:
		case <-time.After(2 * time.Second):
		case <-r.Context().Done():
			return
		}
	}
}
