// Package stand holds the stand-ins of the review: clients, db servers, discovery and the control of pooler processes. It
// uses the standard library only and shares no code with the project.
package stand

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strings"
)

func str(b []byte, s string) []byte { return append(append(b, s...), 0) }

// Message returns one protocol message.
func Message(typ byte, body []byte) []byte {
	b := binary.BigEndian.AppendUint32([]byte{typ}, uint32(len(body)+4))
	return append(b, body...)
}

// Startup returns a client's startup message.
func Startup() []byte {
	body := binary.BigEndian.AppendUint32(nil, 196608)
	for _, s := range []string{"user", "backend", "database", "store"} {
		body = str(body, s)
	}
	body = append(body, 0)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4)), body...)
}

// QueryMessage returns a simple query.
func QueryMessage(sql string) []byte { return Message('Q', str(nil, sql)) }

// StartupReply returns a db server's reply to a startup message, up to ReadyForQuery.
func StartupReply() []byte {
	b := Message('R', []byte{0, 0, 0, 0})
	b = append(b, Param("server_version", "15.0")...)
	return append(b, Ready()...)
}

// Param returns a ParameterStatus.
func Param(name, value string) []byte { return Message('S', str(str(nil, name), value)) }

// Ready returns ReadyForQuery.
func Ready() []byte { return Message('Z', []byte{'I'}) }

// Row returns RowDescription, DataRow and CommandComplete of one value.
func Row(value []byte, tag string) []byte {
	d := str([]byte{0, 1}, "content")
	d = append(d, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1)
	r := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	b := append(Message('T', d), Message('D', append(r, value...))...)
	return append(b, Message('C', str(nil, tag))...)
}

// ErrorMessage returns an ErrorResponse.
func ErrorMessage(code, text string) []byte {
	var f []byte
	for _, s := range []string{"SERROR", "VERROR", "C" + code, "M" + text} {
		f = str(f, s)
	}
	return Message('E', append(f, 0))
}

// ReadMessage reads one message.
func ReadMessage(r *bufio.Reader) (typ byte, body []byte, err error) {
	var head [5]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(head[1:])
	if n < 4 || n > 1<<21 {
		return 0, nil, fmt.Errorf("message %q of %d bytes", head[0], n)
	}
	body = make([]byte, n-4)
	_, err = io.ReadFull(r, body)
	return head[0], body, err
}

// ReadStartup reads a startup message.
func ReadStartup(r *bufio.Reader) error {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n < 8 || n > 10000 {
		return errors.New("startup message of a wrong length")
	}
	_, err := io.CopyN(io.Discard, r, int64(n)-4)
	return err
}

// ErrorFields returns the fields of an ErrorResponse by their key.
func ErrorFields(body []byte) map[byte]string {
	out := map[byte]string{}
	for _, f := range strings.Split(string(body), "\x00") {
		if f != "" {
			out[f[0]] = f[1:]
		}
	}
	return out
}

// Query is a statement as a db server received it.
type Query struct {
	SQL, ID, Class, Key string
	LimitMs             float64
	Write               bool
}

// ParseQuery reads the comment of a statement.
func ParseQuery(sql string) (Query, bool) {
	q := Query{SQL: sql, Write: strings.HasPrefix(sql, "INSERT")}
	_, comment, ok := strings.Cut(sql, "/*")
	comment, _, ok2 := strings.Cut(comment, "*/")
	if !ok || !ok2 {
		return q, false
	}
	for _, f := range strings.Split(comment, ",") {
		name, val, _ := strings.Cut(strings.TrimSpace(f), "=")
		switch name {
		case "id":
			q.ID = val
		case "c":
			q.Class = val
		case "d":
			_, _ = fmt.Sscan(val, &q.LimitMs)
		}
	}
	if p := strings.SplitN(sql, "'", 3); len(p) == 3 {
		q.Key = p[1]
	}
	return q, q.ID != ""
}
