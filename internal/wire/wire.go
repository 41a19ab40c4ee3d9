// Package wire is the codec of the simulator's wire protocol: it decodes batches of events and encodes actions, one message
// a line. It converts replication positions to times on the router's clock and makes no routing decisions.
package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"beechgrade"
)

// Kind is the kind of an Item.
type Kind uint8

// The kinds.
const (
	Start   Kind = iota // the instance starts or restarts; Settings and Seed are set
	Stop                // the instance has crashed
	Deliver             // the instance receives Event
)

// Item is one item of a batch, for one router instance.
type Item struct {
	Instance int
	Kind     Kind
	Seed     uint64
	Settings beechgrade.Settings
	Event    beechgrade.Event
}

// Batch holds the items that arrive at one time.
type Batch struct {
	Now   beechgrade.Time
	Items []Item
}

// listSlots is the number of numbered server lists in the protocol.
const listSlots = 16

// Decoder reads batches. It keeps the numbered server lists, which all instances share, and the position origin of each
// instance. Both belong to the protocol: routers receive complete lists, and positions as times on their clock.
type Decoder struct {
	in              *bufio.Reader
	line            int // number of the last line that was read
	lists           [listSlots][]beechgrade.Entry
	positionOrigins map[int]time.Duration // by instance: the time on the clock of position 0
	longLine        []byte                // a line that is longer than the buffer of in
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{in: bufio.NewReaderSize(r, 1<<20), positionOrigins: map[int]time.Duration{}}
}

// readLine returns the next line without its line ending. The line is valid until the next call.
func (d *Decoder) readLine() ([]byte, error) {
	d.longLine = d.longLine[:0]
	for {
		part, err := d.in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			d.longLine = append(d.longLine, part...)
			continue
		}
		if err != nil {
			if err == io.EOF && len(part)+len(d.longLine) > 0 {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		d.line++
		if len(d.longLine) > 0 {
			d.longLine = append(d.longLine, part...)
			part = d.longLine
		}
		return bytes.TrimSuffix(part[:len(part)-1], []byte{'\r'}), nil
	}
}

// wrapError adds the line number to an error. An end of the input becomes io.ErrUnexpectedEOF.
func (d *Decoder) wrapError(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("wire: line %d: %w", d.line, err)
}

// Next reads one batch. It returns io.EOF when the input ends between batches.
func (d *Decoder) Next() (*Batch, error) {
	first, err := d.readLine()
	for err == nil && len(first) == 0 {
		first, err = d.readLine()
	}
	if err == io.EOF {
		return nil, io.EOF
	}
	if err != nil {
		return nil, d.wrapError(err)
	}
	fields := newFieldReader(first)
	if fields.name != "SYNC" {
		return nil, d.wrapError(fmt.Errorf("want SYNC, got %q", fields.name))
	}
	batch := &Batch{}
	seen := false
	for fields.next() {
		if fields.key == "wall_ns" {
			batch.Now, seen = fields.duration(), true
		}
	}
	if !seen {
		fields.fail("wall_ns")
	}
	if fields.err != nil {
		return nil, d.wrapError(fields.err)
	}
	for {
		line, err := d.readLine()
		if err != nil {
			return nil, d.wrapError(err)
		}
		if len(line) == 0 {
			continue
		}
		fields := newFieldReader(line)
		if fields.name == "COMMIT" {
			return batch, nil
		}
		if err := d.decodeItem(batch, fields); err != nil {
			return nil, d.wrapError(err)
		}
	}
}

// decodeItem decodes one message and appends its item to the batch. It ignores messages that it does not know.
func (d *Decoder) decodeItem(batch *Batch, fields *fieldReader) error {
	item := Item{Instance: -1, Kind: Deliver}
	switch fields.name {
	case "CENSUS":
		return d.decodeCensus(fields)
	case "PROVISION":
		item.Kind = Start
		settings := map[string]string{}
		for fields.next() {
			switch fields.key {
			case "front":
				item.Instance = fields.integer()
			case "prng":
				item.Seed = uint64(fields.int64())
			default:
				settings[fields.key] = string(fields.val)
			}
		}
		if fields.err == nil {
			var origin time.Duration
			var err error
			if item.Settings, origin, err = Settings(settings); err != nil {
				return fmt.Errorf("PROVISION: %w", err)
			}
			d.positionOrigins[item.Instance] = origin
		}
	case "CRASH_NOW":
		item.Kind = Stop
		for fields.next() {
			if fields.key == "front" {
				item.Instance = fields.integer()
			}
		}
		delete(d.positionOrigins, item.Instance)
	case "MEMBERS":
		list := &beechgrade.List{}
		slot, how := -1, ""
		for fields.next() {
			switch fields.key {
			case "front":
				item.Instance = fields.integer()
			case "how":
				how = string(fields.val)
			case "slot":
				slot = fields.integer()
			}
		}
		kind, ok := listKinds[how]
		if !ok {
			return fmt.Errorf("MEMBERS: unknown how %q", how)
		}
		list.Kind = kind
		if kind != beechgrade.ListFailed {
			if slot < 0 || slot >= listSlots {
				return fmt.Errorf("MEMBERS: slot %d out of range", slot)
			}
			list.Entries = d.lists[slot]
		}
		item.Event = list
	case "ASK":
		item.Instance, item.Event = decodeRequest(fields)
	case "SETTLED":
		item.Instance, item.Event = d.decodeOutcome(fields)
	case "EXPIRED":
		e := &beechgrade.Abandoned{}
		for fields.next() {
			switch fields.key {
			case "front":
				item.Instance = fields.integer()
			case "request_id":
				e.ID = beechgrade.RequestID(fields.val)
			}
		}
		item.Event = e
	case "TIMEOUT_FIRED":
		e := &beechgrade.Timer{}
		for fields.next() {
			switch fields.key {
			case "front":
				item.Instance = fields.integer()
			case "tag":
				e.Tag = fields.int64()
			}
		}
		item.Event = e
	case "ECHO":
		e := &beechgrade.ProbeResult{Result: beechgrade.TimedOut}
		var stats []byte
		for fields.next() {
			switch fields.key {
			case "front":
				item.Instance = fields.integer()
			case "store":
				e.Server = beechgrade.ServerID(fields.val)
			case "disposition":
				e.Result = decodeResult(fields.val)
			case "server_stats":
				stats = fields.val
			}
		}
		e.Report = decodeReport(stats, d.positionOrigins[item.Instance], fields)
		item.Event = e
	default:
		return nil
	}
	if fields.err == nil && item.Instance < 0 {
		return fmt.Errorf("%s: front missing or negative", fields.name)
	}
	if fields.err == nil {
		batch.Items = append(batch.Items, item)
	}
	return fields.err
}

// decodeRequest decodes an ASK message and returns its instance and request.
func decodeRequest(fields *fieldReader) (int, *beechgrade.Request) {
	instance, options, work := -1, 0, time.Duration(0)
	request := &beechgrade.Request{Class: -1, Group: -1}
	for fields.next() {
		switch fields.key {
		case "front":
			instance = fields.integer()
		case "request_id":
			request.ID = beechgrade.RequestID(fields.val)
		case "party":
			request.Tenant = fields.integer()
		case "due_ns":
			request.Deadline = fields.duration()
		case "shard":
			request.Group = fields.integer()
		case "session":
			request.Session = string(fields.val)
		case "token_ms":
			request.SinceCommit = time.Duration(fields.float() * float64(time.Millisecond))
		case "expected_ns":
			work = fields.duration()
		case "options":
			options = fields.integer()
		case "cls":
			request.Class = fields.integer()
		}
	}
	// If bit 0 of options is set, expected_ns is to be used. If bit 1 is set, the client repeats the request.
	if options&1 != 0 {
		request.Work = work
	}
	request.Retry = options&2 != 0
	if request.ID == "" {
		fields.fail("request_id")
	}
	return instance, request
}

// decodeOutcome decodes a SETTLED message and returns its instance and outcome.
func (d *Decoder) decodeOutcome(fields *fieldReader) (int, *beechgrade.Outcome) {
	instance, note := -1, int64(0)
	outcome := &beechgrade.Outcome{Result: beechgrade.Failed}
	var stats []byte
	for fields.next() {
		switch fields.key {
		case "front":
			instance = fields.integer()
		case "request_id":
			outcome.ID = beechgrade.RequestID(fields.val)
		case "try":
			outcome.Attempt = fields.integer()
		case "disposition":
			outcome.Result = decodeResult(fields.val)
		case "no_more":
			outcome.Final = fields.boolean()
		case "store":
			outcome.Server = beechgrade.ServerID(fields.val)
		case "note":
			note = fields.int64()
		case "server_stats":
			stats = fields.val
		}
	}
	origin := d.positionOrigins[instance]
	// The lowest two bits of note hold the server's role, the others its position in milliseconds, 0 for none.
	switch note & 3 {
	case 1:
		outcome.Report.Role = beechgrade.RolePrimary
	case 2:
		outcome.Report.Role = beechgrade.RoleReplica
	}
	if note >= 4 {
		outcome.Report.Position, outcome.Report.HasPosition = origin+time.Duration(note/4)*time.Millisecond, true
	}
	outcome.LoadReport = decodeReport(stats, origin, fields)
	return instance, outcome
}

// decodeCensus reads the ENTRY lines that follow a CENSUS message and stores them as a numbered server list.
func (d *Decoder) decodeCensus(fields *fieldReader) error {
	slot, records := -1, 0
	for fields.next() {
		switch fields.key {
		case "slot":
			slot = fields.integer()
		case "records":
			records = fields.integer()
		}
	}
	if fields.err != nil {
		return fields.err
	}
	if slot < 0 || slot >= listSlots || records < 0 {
		return fmt.Errorf("CENSUS: slot %d or records %d out of range", slot, records)
	}
	var list []beechgrade.Entry // a new slice, because events of this batch may still refer to the old list
	for range records {
		line, err := d.readLine()
		if err != nil {
			return err
		}
		entryFields := newFieldReader(line)
		if entryFields.name != "ENTRY" {
			return fmt.Errorf("want ENTRY, got %q", entryFields.name)
		}
		entry := beechgrade.Entry{Weight: 1}
		for entryFields.next() {
			switch entryFields.key {
			case "online_since_ns":
				entry.StartedAt = entryFields.duration()
			case "shard":
				entry.Group = entryFields.integer()
			case "shape":
				entry.MachineType = entryFields.integer()
			case "availability":
				s, ok := serverStates[string(entryFields.val)]
				if !ok {
					return fmt.Errorf("ENTRY: unknown availability %q", entryFields.val)
				}
				entry.State = s
			case "weight":
				entry.Weight = entryFields.float()
			case "hall":
				entry.Zone = entryFields.integer()
			case "store":
				entry.Server = beechgrade.ServerID(entryFields.val)
			case "is_primary":
				entry.Primary = entryFields.float() == 1
			}
		}
		if entryFields.err != nil {
			return entryFields.err
		}
		if entry.Server == "" {
			return errors.New("ENTRY: store missing")
		}
		list = append(list, entry)
	}
	d.lists[slot] = list
	return nil
}

// listKinds maps the values of key how in MEMBERS.
var listKinds = map[string]beechgrade.ListKind{
	"update": beechgrade.ListChanges, "replace": beechgrade.ListFull,
	"restored": beechgrade.ListRestored, "unavailable": beechgrade.ListFailed,
}

// serverStates maps the values of key availability in ENTRY.
var serverStates = map[string]beechgrade.ServerState{
	"SERVING": beechgrade.Serving, "DRAINING": beechgrade.Draining, "DELETED": beechgrade.Removed,
}

// decodeResult decodes a disposition. An unknown disposition becomes Failed, which assumes the least: the attempt may have
// had an effect.
func decodeResult(v []byte) beechgrade.Result {
	switch string(v) {
	case "done":
		return beechgrade.OK
	case "busy":
		return beechgrade.Overloaded
	case "etimedout":
		return beechgrade.TimedOut
	case "econnrefused":
		return beechgrade.Unreachable
	case "econnreset":
		return beechgrade.Reset
	case "ecanceled":
		return beechgrade.Cancelled
	case "skipped":
		return beechgrade.Skipped
	case "enoent":
		return beechgrade.Misdirected
	}
	return beechgrade.Failed
}

// decodeReport decodes a load report. origin is the time on the clock of position 0.
func decodeReport(text []byte, origin time.Duration, fields *fieldReader) beechgrade.Report {
	var report beechgrade.Report
	for len(text) > 0 {
		var pair []byte
		pair, text, _ = bytes.Cut(text, []byte{','})
		key, val, ok := bytes.Cut(pair, []byte{':'})
		if !ok {
			continue
		}
		switch string(key) {
		case "x0":
			// The position is rounded down to whole milliseconds, because the printed number may have been rounded up.
			ms := int64(fields.parse(val) * 1000)
			report.Position, report.HasPosition = origin+time.Duration(ms)*time.Millisecond, true
		case "x1":
			report.Role = beechgrade.RoleReplica
			if fields.parse(val) == 1 {
				report.Role = beechgrade.RolePrimary
			}
		case "busy_reqs":
			report.InFlight, report.HasInFlight = fields.parse(val), true
		}
	}
	return report
}

// fieldReader reads the key=value fields of a line one by one, without allocating a slice for them.
type fieldReader struct {
	name string // name of the message
	rest []byte // fields that have not been read
	key  string
	val  []byte
	err  error // the first error, after which next returns false
}

func newFieldReader(line []byte) *fieldReader {
	name, rest, _ := bytes.Cut(line, []byte{'\t'})
	return &fieldReader{name: string(name), rest: rest}
}

// next reads the next field into key and val, and reports whether there was one.
func (f *fieldReader) next() bool {
	if f.err != nil || len(f.rest) == 0 {
		return false
	}
	var part []byte
	part, f.rest, _ = bytes.Cut(f.rest, []byte{'\t'})
	key, val, ok := bytes.Cut(part, []byte{'='})
	if !ok {
		f.err = fmt.Errorf("%s: part %q has no '='", f.name, part)
		return false
	}
	f.key, f.val = string(key), val
	return true
}

// fail records that a field is malformed or missing, unless there is an earlier error.
func (f *fieldReader) fail(field string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: bad or missing %s %q", f.name, field, f.val)
	}
}

// int64 parses the value as a signed or unsigned 64-bit number; an unsigned one keeps its bits.
func (f *fieldReader) int64() int64 {
	v, err := strconv.ParseInt(string(f.val), 10, 64)
	if err != nil {
		u, uerr := strconv.ParseUint(string(f.val), 10, 64)
		if uerr != nil {
			f.fail(f.key)
		}
		return int64(u)
	}
	return v
}

func (f *fieldReader) integer() int { return int(f.int64()) }

func (f *fieldReader) duration() time.Duration { return time.Duration(f.int64()) }

func (f *fieldReader) float() float64 { return f.parse(f.val) }

func (f *fieldReader) parse(v []byte) float64 {
	x, err := strconv.ParseFloat(string(v), 64)
	if err != nil {
		f.fail(f.key)
	}
	return x
}

func (f *fieldReader) boolean() bool { return string(f.val) == "1" || string(f.val) == "true" }

// Reply encodes the reply to one batch.
type Reply struct{ buf []byte }

// Bytes returns the reply, ended by READY. Reset has to be called before the next reply.
func (r *Reply) Bytes() []byte { return append(r.buf, "READY\n"...) }

// Reset empties the reply.
func (r *Reply) Reset() { r.buf = r.buf[:0] }

// AddFault reports that an instance's router panicked.
func (r *Reply) AddFault(instance int, text string) { r.appendText("BAIL_OUT", instance, text) }

// Add encodes one action of an instance.
func (r *Reply) Add(instance int, action *beechgrade.Action) {
	switch action.Kind {
	case beechgrade.Send:
		r.appendName("PASS_ON", instance)
		r.appendString("request_id", string(action.ID))
		r.appendString("store", string(action.Server))
		r.appendNonZero("timeout_ns", int64(action.Wait))
	case beechgrade.Cancel:
		r.appendName("REVOKE", instance)
		r.appendString("request_id", string(action.ID))
		r.appendInt("try", int64(action.Attempt))
	case beechgrade.Refuse:
		r.appendName("NOT_NOW", instance)
		r.appendString("request_id", string(action.ID))
		r.appendNonZero("pause_ns", int64(action.Wait))
	case beechgrade.Fail:
		r.appendName("ERROR", instance)
		r.appendString("request_id", string(action.ID))
	case beechgrade.Probe:
		r.appendName("PROBE", instance)
		r.appendString("store", string(action.Server))
	case beechgrade.SetTimer:
		r.appendName("WAKE_AT", instance)
		r.appendInt("instant_ns", int64(action.At))
		r.appendInt("tag", action.Tag)
	case beechgrade.Subscribe:
		r.appendName("WATCH", instance)
		r.appendInt("enable", 1)
	case beechgrade.FetchList:
		r.appendName("LIST_ALL", instance)
	case beechgrade.Log:
		r.appendText("TRACE", instance, action.Text)
		return
	default:
		return
	}
	r.buf = append(r.buf, '\n')
}

// appendName appends the start of a message: its name and instance.
func (r *Reply) appendName(name string, instance int) {
	r.buf = append(r.buf, name...)
	r.appendInt("front", int64(instance))
}

func (r *Reply) appendString(key, val string) {
	r.buf = append(r.buf, '\t')
	r.buf = append(r.buf, key...)
	r.buf = append(r.buf, '=')
	r.buf = append(r.buf, val...)
}

func (r *Reply) appendInt(key string, val int64) {
	r.appendString(key, "")
	r.buf = strconv.AppendInt(r.buf, val, 10)
}

// appendNonZero appends a field unless it is zero: the protocol omits these fields when they are zero.
func (r *Reply) appendNonZero(key string, val int64) {
	if val != 0 {
		r.appendInt(key, val)
	}
}

// appendText appends a message with a text. Line breaks and tabs would end the message or the field, so they become spaces.
func (r *Reply) appendText(name string, instance int, text string) {
	r.appendName(name, instance)
	r.appendString("msg", strings.NewReplacer("\n", " ", "\r", " ", "\t", " ").Replace(text))
	r.buf = append(r.buf, '\n')
}
