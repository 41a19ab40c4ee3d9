package emulator

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"beechgrade/internal/discovery"
)

// keepAliveInterval is the interval at which an idle watch sends an empty line.
const keepAliveInterval = 2 * time.Second

// movedCloseDelay is how long an endpoint stays open after discovery has moved to another one.
const movedCloseDelay = 1500 * time.Millisecond

// Discovery is the emulated discovery service: one list, which each pooler requests at an endpoint of its own.
type Discovery struct {
	mu            sync.Mutex
	list          map[string]discovery.Instance
	changedIn     map[string]int64 // generation of each instance's last change, by ID
	generation    int64
	notify        chan struct{} // closed at the next change, or when watches are to end
	downUntil     time.Time     // every call fails before this time
	reachableFrom time.Time     // when discovery became, or will become, reachable
	silencedAt    time.Time     // watches opened before this time send nothing more
}

// NewDiscovery returns a discovery service with an empty list.
func NewDiscovery() *Discovery {
	return &Discovery{list: map[string]discovery.Instance{}, changedIn: map[string]int64{}, notify: make(chan struct{}),
		reachableFrom: time.Now()}
}

// Set adds or replaces one instance.
func (d *Discovery) Set(i discovery.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	d.changedIn[i.ID] = d.generation
	d.list[i.ID] = i
	d.notifyWatches()
}

func (d *Discovery) notifyWatches() {
	close(d.notify)
	d.notify = make(chan struct{})
}

// Snapshot returns the full list, without removed instances.
func (d *Discovery) Snapshot() discovery.List {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := discovery.List{Generation: d.generation, Complete: true, Instances: []discovery.Instance{}}
	for _, i := range d.list {
		if i.Lifecycle != lifecycleRemoved {
			list.Instances = append(list.Instances, i)
		}
	}
	return list
}

const lifecycleUp, lifecycleDraining, lifecycleRemoved = "up", "draining", "removed"

// changesSince returns the instances that have changed since a generation, and a channel that is closed at the next change or
// when watches are to end.
func (d *Discovery) changesSince(generation int64) (list discovery.List, notify chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list = discovery.List{Generation: d.generation, Instances: []discovery.Instance{}}
	for id, at := range d.changedIn {
		if at > generation {
			list.Instances = append(list.Instances, d.list[id])
		}
	}
	return list, d.notify
}

// SetDown makes every call fail for the given duration and ends all watches.
func (d *Discovery) SetDown(duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.downUntil = time.Now().Add(duration)
	d.reachableFrom = d.downUntil
	d.notifyWatches()
}

// SilenceWatches makes all open watches send nothing more, without closing them.
func (d *Discovery) SilenceWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silencedAt = time.Now()
}

// PropagatedAt returns the time at which a change made now counts as known to every pooler.
func (d *Discovery) PropagatedAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := time.Now()
	if d.reachableFrom.After(at) {
		at = d.reachableFrom
	}
	return at.Add(propagationTime)
}

func (d *Discovery) isDown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.downUntil)
}

func (d *Discovery) isSilent(opened time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return opened.Before(d.silencedAt)
}

// ServeHTTP answers a list or watch request.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.isDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Query().Get("watch") == "" {
		_ = json.NewEncoder(w).Encode(d.Snapshot())
		return
	}
	var from int64
	_, _ = fmt.Sscan(r.URL.Query().Get("from"), &from)
	d.watch(w, r, from)
}

// watch sends changes until the connection ends or discovery is down. A silenced watch sends nothing more, but stays open.
func (d *Discovery) watch(w http.ResponseWriter, r *http.Request, from int64) {
	opened := time.Now()
	flush := func() {
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
	}
	for {
		list, notify := d.changesSince(from)
		switch {
		case d.isDown():
			return
		case d.isSilent(opened):
			<-r.Context().Done()
			return
		case list.Generation > from:
			_ = json.NewEncoder(w).Encode(list)
			from = list.Generation
		default:
			_, _ = w.Write([]byte("\n"))
		}
		flush()
		select {
		case <-notify:
		case <-time.After(keepAliveInterval):
		case <-r.Context().Done():
			return
		}
	}
}

// endpoint is one address at which discovery is served.
type endpoint struct {
	addr   string
	server *http.Server
}

// openEndpoint starts serving discovery at a new address.
func (d *Discovery) openEndpoint() (*endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	s := &http.Server{Handler: d, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	return &endpoint{addr: l.Addr().String(), server: s}, nil
}

// closeLater closes the endpoint and its connections after movedCloseDelay.
func (e *endpoint) closeLater() { time.AfterFunc(movedCloseDelay, func() { _ = e.server.Close() }) }

// close closes the endpoint and its connections at once.
func (e *endpoint) close() { _ = e.server.Close() }
