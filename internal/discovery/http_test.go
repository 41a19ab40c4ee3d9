package discovery

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestResponse guards against a parser that depends on how the bytes are split. Chunks and values do not end together, and a
// value may be on one line, on many lines, or follow another one directly. A value that the end of the body truncates is not
// passed on.
func TestResponse(t *testing.T) {
	for name, c := range map[string]struct {
		in    string
		want  []string
		ended bool
		err   error
	}{
		"watch": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"6;x=1\r\n{\"a\":1\r\n4\r\n}\n\n{\r\n1\r\n\n\r\n", []string{`{"a":1}`}, false, nil},
		"end of watch": {"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", []string{"{}"}, true, nil},
		"truncated by the last chunk": {"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n6\r\n{}{\"a\"\r\n0\r\n\r\n",
			[]string{"{}"}, true, errTruncated},
		"content length":                  {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{}\n[]", []string{"{}", "[]"}, true, nil},
		"truncated by the content length": {"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n{\"a\":1}", nil, true, errTruncated},
		"indented": {"HTTP/1.1 200 OK\r\n\r\n {\n\t\"a\": [\n\t\t{\"b\": 1}\n\t]\n}\n \n{\r\n}",
			[]string{"{\n\t\"a\": [\n\t\t{\"b\": 1}\n\t]\n}", "{\r\n}"}, false, nil},
		"brackets in strings": {"HTTP/1.1 200 OK\r\n\r\n{\"}\\\"]\":\"\\\\\"}{\"a\":\"\n\"}",
			[]string{`{"}\"]":"\\"}`, "{\"a\":\"\n\"}"}, false, nil},
		"not JSON":                 {"HTTP/1.1 200 OK\r\n\r\n{}\nnoise", []string{"{}"}, false, errNotJSON},
		"refused":                  {"HTTP/1.1 503 Busy\r\nContent-Length: 5\r\n\r\nBusy\n", nil, true, nil},
		"not HTTP":                 {"SSH-2.0\r\n\r\n", nil, false, errMalformed},
		"malformed chunk":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", nil, false, errMalformed},
		"malformed content length": {"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", nil, false, errMalformed},
		"head too long":            {"HTTP/1.1 200 OK\r\n" + strings.Repeat("a: b\r\n", 4000), nil, false, errTooLong},
	} {
		t.Run(name, func(t *testing.T) {
			for _, size := range []int{1, 2, 3, 7, len(c.in)} {
				var r response
				var got []string
				var err error
				for part := range slices.Chunk([]byte(c.in), size) {
					if err = r.feed(part, func(value []byte) error { got = append(got, string(value)); return nil }); err != nil {
						break
					}
				}
				if !errors.Is(err, c.err) {
					t.Fatalf("in parts of %d bytes: error %v, want %v", size, err, c.err)
				}
				if diff := cmp.Diff(c.want, got); diff != "" || r.ended != c.ended {
					t.Fatalf("in parts of %d bytes: ended is %v; values (-want +got): %s", size, r.ended, diff)
				}
			}
		})
	}
}

// TestValueTooLong guards against buffering a list without limit if its brackets are never closed.
func TestValueTooLong(t *testing.T) {
	var r response
	err := r.feed([]byte("HTTP/1.1 200 OK\r\n\r\n["), nil)
	for part := []byte(strings.Repeat(" ", 1<<20)); err == nil && len(r.values.buf) <= 2*maxValueBytes; {
		err = r.feed(part, nil)
	}
	if !errors.Is(err, errTooLong) {
		t.Errorf("error %v with %d bytes buffered, want errTooLong", err, len(r.values.buf))
	}
}
