package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

const (
	maxHead  = 16 << 10
	maxValue = 8 << 20 // the whole list

	keepValue = 1 << 16 // of a buffer, from one value to the next
)

var (
	errTooLong   = errors.New("too long")
	errMalformed = errors.New("malformed")
	errNotJSON   = errors.New("neither an object nor a list")
	errCutOff    = errors.New("cut off")
)

// reply reads an HTTP/1.1 response as it comes in: a head, then a body that is chunked, of a stated
// length, or up to the connection's end. Its body is told in whole JSON values, however they are laid out.
type reply struct {
	buf     []byte
	status  int
	inBody  bool
	chunked bool
	left    int // bytes of this chunk or body that are still to come, -1 for up to the end
	inChunk bool
	values  values
	ended   bool
}

// feed takes what was read and calls f for each value of the body that is complete; only one of status 200 has any.
func (r *reply) feed(b []byte, f func(value []byte) error) error {
	r.buf = append(r.buf, b...)
	if !r.inBody {
		i := bytes.Index(r.buf, []byte("\r\n\r\n"))
		if i < 0 {
			if len(r.buf) > maxHead {
				return fmt.Errorf("head: %w", errTooLong)
			}
			return nil
		}
		if err := r.head(string(r.buf[:i])); err != nil {
			return err
		}
		r.buf, r.inBody = r.buf[i+4:], true
	}
	for !r.ended {
		n, err := r.step(f)
		if err != nil {
			return err
		}
		if n == 0 {
			break
		}
		r.buf = r.buf[n:]
	}
	if len(r.buf) == 0 {
		r.buf = nil
	}
	return nil
}

func (r *reply) head(head string) error {
	lines := strings.Split(head, "\r\n")
	part := strings.SplitN(lines[0], " ", 3)
	if len(part) < 2 || !strings.HasPrefix(part[0], "HTTP/1.") {
		return fmt.Errorf("status line %q: %w", lines[0], errMalformed)
	}
	var err error
	if r.status, err = strconv.Atoi(part[1]); err != nil {
		return fmt.Errorf("status %q: %w", part[1], errMalformed)
	}
	r.left = -1
	for _, l := range lines[1:] {
		name, val, _ := strings.Cut(l, ":")
		val = strings.TrimSpace(val)
		switch strings.ToLower(name) {
		case "transfer-encoding":
			r.chunked = strings.EqualFold(val, "chunked")
		case "content-length":
			if r.left, err = strconv.Atoi(val); err != nil || r.left < 0 {
				return fmt.Errorf("content length %q: %w", val, errMalformed)
			}
		}
	}
	return nil
}

// step takes one piece of the body and returns how many bytes it used, 0 if it needs more.
func (r *reply) step(f func([]byte) error) (int, error) {
	if r.chunked && !r.inChunk {
		i := bytes.Index(r.buf, []byte("\r\n"))
		if i < 0 {
			if len(r.buf) > 1024 {
				return 0, fmt.Errorf("chunk head: %w", errTooLong)
			}
			return 0, nil
		}
		size, _, _ := strings.Cut(string(r.buf[:i]), ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil {
			return 0, fmt.Errorf("chunk head %q: %w", size, errMalformed)
		}
		r.inChunk, r.left = true, int(n)
		if n == 0 {
			r.ended = true
			return i + 2, r.values.end()
		}
		return i + 2, nil
	}
	if r.chunked && r.left == 0 { // the line end behind a chunk
		if len(r.buf) < 2 {
			return 0, nil
		}
		r.inChunk = false
		return 2, nil
	}
	n := len(r.buf)
	if r.left >= 0 {
		n = min(n, r.left)
		r.left -= n
	}
	var err error
	if r.status == http.StatusOK {
		err = r.values.feed(r.buf[:n], f)
	}
	if err == nil && !r.chunked && r.left == 0 {
		r.ended = true
		err = r.values.end()
	}
	return n, err
}

// eof takes the connection's end. That is an answer's too, but only where its length was not said, and a reset never is.
func (r *reply) eof() error {
	if !r.inBody || r.chunked || r.left >= 0 {
		return errCutOff
	}
	r.ended = true
	return r.values.end()
}

// values cuts a body into JSON values: on a line each, indented over many, or run together. White space between them is
// a sign of life.
type values struct {
	buf     []byte // of the value that has begun
	depth   int    // of its open brackets
	quoted  bool   // in a string
	escaped bool   // behind a backslash
}

func (v *values) feed(b []byte, f func(value []byte) error) error {
	from := 0 // of what is not in buf yet
	for i, c := range b {
		switch {
		case v.escaped:
			v.escaped = false
		case v.quoted:
			v.escaped, v.quoted = c == '\\', c != '"'
		case c == '{' || c == '[':
			if v.depth == 0 {
				from = i
			}
			v.depth++
		case v.depth == 0 && (c == ' ' || c == '\t' || c == '\r' || c == '\n'):
		case v.depth == 0:
			return errNotJSON
		case c == '"':
			v.quoted = true
		case c == '}' || c == ']':
			if v.depth--; v.depth > 0 {
				break
			}
			whole := append(v.buf, b[from:i+1]...)
			if v.buf = whole[:0]; cap(whole) > keepValue {
				v.buf = nil
			}
			if err := f(whole); err != nil {
				return err
			}
		}
	}
	if v.depth > 0 {
		v.buf = append(v.buf, b[from:]...)
	}
	if len(v.buf) > maxValue {
		return fmt.Errorf("value: %w", errTooLong)
	}
	return nil
}

// end tells whether the body may end here.
func (v *values) end() error {
	if v.depth > 0 {
		return errCutOff
	}
	return nil
}
