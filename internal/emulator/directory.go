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

// lifeSign is how often a watch shows that it lives.
const lifeSign = 2 * time.Second

// movedCloses is how long an address that discovery has left keeps its open connections.
const movedCloses = 1500 * time.Millisecond

// Directory is the emulated discovery: one list, which each pooler asks for at an address of its own.
type Directory struct {
	mu      sync.Mutex
	list    map[string]discovery.Instance
	changed map[string]int64 // generation of an instance's last change
	gen     int64
	news    chan struct{} // closed at the next change, or when watches are to end
	downTo  time.Time     // until then every call fails
	upAt    time.Time     // since then it can be reached
	silent  time.Time     // watches that were opened before then say nothing
}

// NewDirectory makes a discovery with an empty list.
func NewDirectory() *Directory {
	return &Directory{list: map[string]discovery.Instance{}, changed: map[string]int64{}, news: make(chan struct{}), upAt: time.Now()}
}

// Set changes one instance.
func (d *Directory) Set(i discovery.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gen++
	d.changed[i.ID] = d.gen
	d.list[i.ID] = i
	d.wake()
}

func (d *Directory) wake() {
	close(d.news)
	d.news = make(chan struct{})
}

// Whole is the whole list.
func (d *Directory) Whole() discovery.List {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := discovery.List{Generation: d.gen, Complete: true, Instances: []discovery.Instance{}}
	for _, i := range d.list {
		if i.Lifecycle != lifecycleRemoved {
			l.Instances = append(l.Instances, i)
		}
	}
	return l
}

const lifecycleUp, lifecycleDraining, lifecycleRemoved = "up", "draining", "removed"

// since is what has changed after a generation.
func (d *Directory) since(gen int64) (l discovery.List, news chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l = discovery.List{Generation: d.gen, Instances: []discovery.Instance{}}
	for id, at := range d.changed {
		if at > gen {
			l.Instances = append(l.Instances, d.list[id])
		}
	}
	return l, d.news
}

// Down has every call fail for so long, and ends all watches.
func (d *Directory) Down(span time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.downTo = time.Now().Add(span)
	d.upAt = d.downTo
	d.wake()
}

// Silence has all watches that are open say nothing more.
func (d *Directory) Silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = time.Now()
}

// Told is when a change of now counts as told to every pooler.
func (d *Directory) Told() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := time.Now()
	if d.upAt.After(at) {
		at = d.upAt
	}
	return at.Add(tellAfter)
}

func (d *Directory) isDown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.downTo)
}

func (d *Directory) isSilent(opened time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return opened.Before(d.silent)
}

// ServeHTTP answers a call.
func (d *Directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.isDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Query().Get("watch") == "" {
		_ = json.NewEncoder(w).Encode(d.Whole())
		return
	}
	var from int64
	_, _ = fmt.Sscan(r.URL.Query().Get("from"), &from)
	d.watch(w, r, from)
}

// watch tells changes until the connection ends.
func (d *Directory) watch(w http.ResponseWriter, r *http.Request, from int64) {
	opened := time.Now()
	flush := func() {
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
	}
	for {
		l, news := d.since(from)
		switch {
		case d.isDown():
			return
		case d.isSilent(opened):
			<-r.Context().Done()
			return
		case l.Generation > from:
			_ = json.NewEncoder(w).Encode(l)
			from = l.Generation
		default:
			_, _ = w.Write([]byte("\n"))
		}
		flush()
		select {
		case <-news:
		case <-time.After(lifeSign):
		case <-r.Context().Done():
			return
		}
	}
}

// door is one address of discovery.
type door struct {
	addr   string
	server *http.Server
}

// open makes an address at which discovery can be asked.
func (d *Directory) open() (*door, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	s := &http.Server{Handler: d, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	return &door{addr: l.Addr().String(), server: s}, nil
}

// leave accepts nothing more, and closes what is open after a while.
func (o *door) leave() { time.AfterFunc(movedCloses, func() { _ = o.server.Close() }) }

// close ends the address at once.
func (o *door) close() { _ = o.server.Close() }
