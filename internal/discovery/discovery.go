// Package discovery requests the list of servers over HTTP: the full list, or a watch that reports changes.
package discovery

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"

	jsoniter "github.com/json-iterator/go"

	"beechgrade/internal/deadline"
	"beechgrade/internal/loop"
	"beechgrade/internal/metrics"
)

// silenceTimeoutMs is how long a call may receive nothing, in milliseconds. Discovery sends a keep-alive on a watch every
// 2 s. If its machine has failed, or the connection was dropped on the path, nothing reports the end of the connection.
const silenceTimeoutMs = 2500

// maxInstances is the maximum length of a list. A longer one is taken for a fault.
const maxInstances = 10000

// closeCallEnded is the reason for closing the connection of a call that has ended.
const closeCallEnded loop.Reason = "discovery.over"

// connectTimeoutMs is the time-out for opening a connection, in milliseconds.
const connectTimeoutMs = 1000

// Instance is one server in the list.
type Instance struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Group       int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
	Role        string  `json:"role"`
}

// List is the full list, or the changes since the previous generation.
type List struct {
	Generation int64      `json:"generation"`
	Complete   bool       `json:"reset"` // the list is the full list, not a set of changes
	Instances  []Instance `json:"instances"`
}

// Events receives lists, and is notified of calls that failed and watches that ended.
type Events interface {
	ListReceived(l *List)
	ListFailed()
}

// Client is a client of the discovery service. It has at most one open watch and one open request for the full list.
type Client struct {
	loop          *loop.Loop
	log           *slog.Logger
	addr          string
	events        Events
	generation    int64 // of the last list that was reported
	watch         *call
	fetch         *call // the request for the full list
	needFullList  bool  // no full list was received since the address changed or the count of generations restarted
	watchReopened bool  // the open watch was started by SetAddress; the next call of Watch keeps it
}

// New returns a client that knows the list of the given generation.
func New(l *loop.Loop, log *slog.Logger, addr string, generation int64, events Events) *Client {
	return &Client{loop: l, log: log, addr: addr, generation: generation, events: events}
}

// SetAddress sends all further calls to another address. Open calls at the old address are dropped without being reported as
// failures, and are repeated at the new one at once. The new address counts generations on its own, so its list is requested
// from generation 0.
func (c *Client) SetAddress(addr string) {
	if addr == c.addr {
		return
	}
	c.addr, c.generation, c.needFullList = addr, 0, true
	if old := c.fetch; old != nil {
		old.end(nil)
		c.Fetch()
	}
	c.watchReopened = false
	c.Watch()
	c.watchReopened = true
}

// Watch starts a watch for changes since the known generation, and ends an open watch. If SetAddress has just started a
// watch, Watch keeps that one instead.
func (c *Client) Watch() {
	if c.watchReopened && c.watch != nil {
		c.watchReopened = false
		return
	}
	if old := c.watch; old != nil {
		c.watch = nil
		old.end(nil)
	}
	from := c.generation
	if c.needFullList {
		from = 0
	}
	c.watch = c.startCall(fmt.Sprintf("/v1/endpoints?watch=1&from=%d", from), true)
}

// Fetch requests the full list, unless such a request is already open.
func (c *Client) Fetch() {
	if c.fetch == nil {
		c.fetch = c.startCall("/v1/endpoints", false)
	}
}

// call is one HTTP request with its connection. It implements loop.Handler.
type call struct {
	client       *Client
	path         string
	watch        bool
	conn         *loop.Conn
	response     response
	timer        *deadline.Timer
	list         *List // the last list that was received; without a watch, it is used once the response is complete
	listReported bool  // a list was passed to handleList
	ended        bool
}

func (c *Client) startCall(path string, watch bool) *call {
	k := &call{client: c, path: path, watch: watch}
	k.resetSilenceTimer()
	c.loop.Dial(c.addr, connectTimeoutMs, k, k.end)
	return k
}

// resetSilenceTimer restarts the time-out for receiving nothing.
func (k *call) resetSilenceTimer() {
	l := k.client.loop
	l.StopTimer(k.timer)
	k.timer = l.At(l.Now()+silenceTimeoutMs, func() { k.end(errors.New("nothing received within the time-out")) })
}

// end ends the call. A non-nil error is reported as a failure, except for a watch that has been replaced.
func (k *call) end(err error) {
	if k.ended {
		return
	}
	k.ended = true
	c := k.client
	if c.fetch == k {
		c.fetch = nil
	}
	c.loop.StopTimer(k.timer)
	if k.conn != nil {
		k.conn.Close(closeCallEnded)
	}
	current := !k.watch || c.watch == k
	if c.watch == k {
		c.watch = nil
	}
	if err != nil && current {
		c.watchReopened = false // a new watch has to report what this call did not
		c.log.Info("discovery", "call", k.path, "err", err)
		c.loop.Metrics().Add(metrics.DiscoveryCalls, "failed")
		c.events.ListFailed()
	}
}

// Opened implements loop.Handler.
func (k *call) Opened(conn *loop.Conn) {
	k.conn = conn
	if k.ended {
		conn.Close(closeCallEnded)
		return
	}
	_ = conn.Write([]byte("GET " + k.path + " HTTP/1.1\r\nHost: " + k.client.addr +
		"\r\nAccept: application/json\r\n\r\n"))
}

// Data implements loop.Handler.
func (k *call) Data(b []byte) {
	if k.ended {
		return
	}
	k.resetSilenceTimer()
	if err := k.response.feed(b, k.handleValue); err != nil {
		k.end(err)
		return
	}
	if k.response.inBody && k.response.status != http.StatusOK {
		k.end(fmt.Errorf("status %d", k.response.status))
		return
	}
	if k.response.ended {
		k.handleEnd()
	}
}

// handleEnd ends a call whose response is complete.
func (k *call) handleEnd() {
	switch {
	case k.watch:
		k.end(errors.New("discovery ended the watch"))
	case k.list == nil:
		k.end(errors.New("no list in the response"))
	default:
		k.handleList(k.list)
		k.end(nil)
	}
}

// handleValue parses one JSON value of the response as a list.
func (k *call) handleValue(b []byte) error {
	if k.ended {
		return nil
	}
	var l List
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(b, &l); err != nil {
		return fmt.Errorf("list: %w", err)
	}
	if len(l.Instances) > maxInstances || l.Generation < 0 {
		return fmt.Errorf("list out of range: generation %d with %d instances", l.Generation, len(l.Instances))
	}
	if k.list = &l; k.watch {
		k.handleList(&l)
	}
	return nil
}

// handleList reports a list, unless it is older than the last one that was reported. A watch may report an older one in two
// cases: if it is a full list, or if it is the first list of the watch, which is taken to mean that discovery has
// restarted its count of generations.
func (k *call) handleList(l *List) {
	c, first := k.client, !k.listReported
	k.listReported = true
	c.loop.Metrics().Add(metrics.DiscoveryCalls, "listed")
	switch {
	case l.Generation >= c.generation || k.watch && l.Complete:
	case !k.watch:
		k.end(fmt.Errorf("generation %d is older than %d, which the watch has reported", l.Generation, c.generation))
		return
	case first:
		c.needFullList = true // the base of these changes is unknown
	default:
		return // a full list with a newer generation was fetched in the meantime
	}
	c.generation = l.Generation
	if c.needFullList && k.watch && !l.Complete { // the known list is not the base of these changes
		c.Fetch()
	}
	c.needFullList = c.needFullList && !l.Complete
	c.events.ListReceived(l)
}

// Closed implements loop.Handler.
func (k *call) Closed(err error) {
	k.conn = nil
	if k.ended {
		return
	}
	if err == nil {
		err = errors.New("connection closed")
	}
	if errors.Is(err, io.EOF) {
		if err = k.response.handleEOF(); err == nil {
			k.handleEnd()
			return
		}
	}
	k.end(err)
}
