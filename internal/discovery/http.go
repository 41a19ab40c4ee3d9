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
	// maxHeadBytes limits the status line and headers of a response.
	maxHeadBytes = 16 << 10
	// maxValueBytes limits one JSON value of a body, which may be the full list.
	maxValueBytes = 8 << 20

	// maxKeptBufferBytes is the capacity up to which a value's buffer is kept for the next value.
	maxKeptBufferBytes = 1 << 16
)

var (
	errTooLong   = errors.New("too long")
	errMalformed = errors.New("malformed")
	errNotJSON   = errors.New("neither a JSON object nor a JSON array")
	errTruncated = errors.New("truncated response")
)

// response is an incremental parser of an HTTP/1.1 response. The body may be chunked, have a content length, or extend to
// the end of the stream. It is passed on as complete JSON values, regardless of their layout.
type response struct {
	buf       []byte
	status    int
	inBody    bool
	chunked   bool
	remaining int // bytes of the current chunk or of the body that have not been received, -1 if the body ends with the stream
	inChunk   bool
	values    valueSplitter
	ended     bool
}

// feed parses received bytes and calls f for each complete value of the body. The body of a response with another status
// than 200 is skipped.
func (r *response) feed(b []byte, f func(value []byte) error) error {
	r.buf = append(r.buf, b...)
	if !r.inBody {
		i := bytes.Index(r.buf, []byte("\r\n\r\n"))
		if i < 0 {
			if len(r.buf) > maxHeadBytes {
				return fmt.Errorf("head: %w", errTooLong)
			}
			return nil
		}
		if err := r.parseHead(string(r.buf[:i])); err != nil {
			return err
		}
		r.buf, r.inBody = r.buf[i+4:], true
	}
	for !r.ended {
		n, err := r.parseBody(f)
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

// parseHead parses the status line and the headers.
func (r *response) parseHead(head string) error {
	lines := strings.Split(head, "\r\n")
	part := strings.SplitN(lines[0], " ", 3)
	if len(part) < 2 || !strings.HasPrefix(part[0], "HTTP/1.") {
		return fmt.Errorf("status line %q: %w", lines[0], errMalformed)
	}
	var err error
	if r.status, err = strconv.Atoi(part[1]); err != nil {
		return fmt.Errorf("status %q: %w", part[1], errMalformed)
	}
	r.remaining = -1
	for _, l := range lines[1:] {
		name, val, _ := strings.Cut(l, ":")
		val = strings.TrimSpace(val)
		switch strings.ToLower(name) {
		case "transfer-encoding":
			r.chunked = strings.EqualFold(val, "chunked")
		case "content-length":
			if r.remaining, err = strconv.Atoi(val); err != nil || r.remaining < 0 {
				return fmt.Errorf("content length %q: %w", val, errMalformed)
			}
		}
	}
	return nil
}

// parseBody parses one chunk header or part of the body and returns the number of bytes it used, 0 if it needs more.
func (r *response) parseBody(f func([]byte) error) (int, error) {
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
		r.inChunk, r.remaining = true, int(n)
		if n == 0 {
			r.ended = true
			return i + 2, r.values.end()
		}
		return i + 2, nil
	}
	if r.chunked && r.remaining == 0 { // the line end after a chunk
		if len(r.buf) < 2 {
			return 0, nil
		}
		r.inChunk = false
		return 2, nil
	}
	n := len(r.buf)
	if r.remaining >= 0 {
		n = min(n, r.remaining)
		r.remaining -= n
	}
	var err error
	if r.status == http.StatusOK {
		err = r.values.feed(r.buf[:n], f)
	}
	if err == nil && !r.chunked && r.remaining == 0 {
		r.ended = true
		err = r.values.end()
	}
	return n, err
}

// handleEOF handles the end of the stream. It completes a response that is neither chunked nor has a content length. For any
// other one it returns errTruncated. A connection reset is never the regular end of a response.
func (r *response) handleEOF() error {
	if !r.inBody || r.chunked || r.remaining >= 0 {
		return errTruncated
	}
	r.ended = true
	return r.values.end()
}

// valueSplitter splits a body into JSON values, which may be on one line each, indented over many lines, or without
// separators. White space between values serves as a keep-alive.
type valueSplitter struct {
	buf     []byte // the bytes of an incomplete value
	depth   int    // the number of open brackets
	quoted  bool   // inside a string
	escaped bool   // after a backslash
}

func (v *valueSplitter) feed(b []byte, f func(value []byte) error) error {
	start := 0 // the first byte of b that is not in buf
	for i, c := range b {
		switch {
		case v.escaped:
			v.escaped = false
		case v.quoted:
			v.escaped, v.quoted = c == '\\', c != '"'
		case c == '{' || c == '[':
			if v.depth == 0 {
				start = i
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
			value := append(v.buf, b[start:i+1]...)
			if v.buf = value[:0]; cap(value) > maxKeptBufferBytes {
				v.buf = nil
			}
			if err := f(value); err != nil {
				return err
			}
		}
	}
	if v.depth > 0 {
		v.buf = append(v.buf, b[start:]...)
	}
	if len(v.buf) > maxValueBytes {
		return fmt.Errorf("value: %w", errTooLong)
	}
	return nil
}

// end returns an error if the body ends within a value.
func (v *valueSplitter) end() error {
	if v.depth > 0 {
		return errTruncated
	}
	return nil
}
