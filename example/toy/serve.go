package main

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"

	"beechgrade/internal/discovery"
	"beechgrade/internal/pgwire"
)

// keepAliveInterval is the interval at which an idle watch sends an empty line.
const keepAliveInterval = 2 * time.Second

// run serves one group of three small servers and a discovery that lists them, until the process is interrupted.
func run(listen string) error {
	shared := &table{rows: map[string][]byte{}}
	list := discovery.List{Generation: 1, Complete: true}
	for i, role := range []string{"primary", "replica", "replica"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("server: %w", err)
		}
		name := fmt.Sprintf("toy-%d", i)
		slog.Info("server", "name", name, "role", role, "addr", listener.Addr())
		list.Instances = append(list.Instances, discovery.Instance{ID: name, HostPort: listener.Addr().String(), Zone: "room",
			MachineType: "small", Lifecycle: "up", Weight: 1, Role: role})
		go serve(listener, &server{name: name, role: role, table: shared})
	}
	slog.Info("discovery", "addr", listen)
	return http.ListenAndServe(listen, discoveryHandler(list))
}

// discoveryHandler answers list and watch requests with a list that never changes.
func discoveryHandler(list discovery.List) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", func(w http.ResponseWriter, r *http.Request) {
		b, err := jsoniter.Marshal(list)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(append(b, '\n'))
		f, ok := w.(http.Flusher)
		for ok && r.URL.Query().Get("watch") != "" {
			f.Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(keepAliveInterval):
				_, _ = io.WriteString(w, "\n")
			}
		}
	})
	return mux
}

// table is the data that all servers share, so that the replicas have no lag.
type table struct {
	mu   sync.Mutex
	rows map[string][]byte
}

type server struct {
	name, role string
	table      *table
}

func serve(l net.Listener, s *server) {
	for {
		c, err := l.Accept()
		if err != nil {
			slog.Error("accept", "server", s.name, "err", err)
			return
		}
		go func() {
			defer c.Close()
			if err := s.session(c); err != nil && !errors.Is(err, io.EOF) {
				slog.Info("session", "server", s.name, "err", err)
			}
		}()
	}
}

func (s *server) session(conn net.Conn) error {
	var size [4]byte
	if _, err := io.ReadFull(conn, size[:]); err != nil {
		return err
	}
	if _, err := io.CopyN(io.Discard, conn, int64(binary.BigEndian.Uint32(size[:]))-4); err != nil {
		return err
	}
	if _, err := conn.Write(pgwire.AppendStartupReply(nil)); err != nil {
		return err
	}
	reader, buf := pgwire.NewReader(1<<18), make([]byte, 1<<14)
	for {
		m, ok, err := reader.Next()
		if err != nil {
			return err
		}
		if !ok {
			n, err := conn.Read(buf)
			if err != nil {
				return err
			}
			reader.Feed(buf[:n])
			continue
		}
		if m.Type != 'Q' {
			return nil
		}
		sql, err := pgwire.ParseText(m.Body)
		if err != nil {
			return err
		}
		if _, err := conn.Write(s.answer(sql)); err != nil {
			return err
		}
	}
}

var (
	selectPattern = regexp.MustCompile(`^SELECT content FROM kv WHERE name = '([^']*)'`)
	insertPattern = regexp.MustCompile(`^INSERT INTO kv \(name, content\) VALUES \('([^']*)', '\\x([0-9a-f]*)'\) RETURNING content`)
)

// answer runs one statement and returns the messages to send.
func (s *server) answer(sql string) []byte {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	now := time.Now().UnixMilli()
	if sql == "SHOW load" {
		primary := 0
		if s.role == "primary" {
			primary = 1
		}
		return row(fmt.Appendf(nil, "x0=%d.%03d,x1=%d", now/1000, now%1000, primary), "SHOW")
	}
	slog.Info("asked", "server", s.name, "role", s.role, "sql", sql)
	if m := selectPattern.FindStringSubmatch(sql); m != nil {
		return s.withStatus(row(s.table.rows[m[1]], "SELECT 1"), now)
	}
	if m := insertPattern.FindStringSubmatch(sql); m != nil {
		if s.role != "primary" {
			return s.withStatus(errorAnswer("25006", "this is no primary"), now)
		}
		v, err := hex.DecodeString(m[2])
		if err != nil {
			return errorAnswer("22P02", "not hex: "+strings.TrimSpace(err.Error()))
		}
		s.table.rows[m[1]] = v
		return s.withStatus(row(v, "INSERT 0 1"), now+1) // the position of a commit is rounded up to the next millisecond
	}
	return errorAnswer("08P01", "the toy knows only the two statements of its page")
}

// withStatus inserts the role and position before ReadyForQuery.
func (s *server) withStatus(b []byte, position int64) []byte {
	b = b[:len(b)-len(pgwire.AppendReady(nil))]
	b = pgwire.AppendParameter(b, "role", s.role)
	b = pgwire.AppendParameter(b, "applied_ms", fmt.Sprint(position))
	return pgwire.AppendReady(b)
}

func row(value []byte, tag string) []byte {
	return pgwire.AppendReady(pgwire.AppendComplete(pgwire.AppendRow(nil, "content", value), tag))
}

func errorAnswer(code, text string) []byte {
	return pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", code, text, ""))
}
