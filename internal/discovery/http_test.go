package discovery

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestReply guards against reading a list by how its bytes come in: chunks and values do not end together, and a value may
// stand on one line, on many, or right behind another. One that the body's end cuts off is none.
func TestReply(t *testing.T) {
	for name, c := range map[string]struct {
		in    string
		want  []string
		ended bool
		fails error
	}{
		"watch": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"6;x=1\r\n{\"a\":1\r\n4\r\n}\n\n{\r\n1\r\n\n\r\n", []string{`{"a":1}`}, false, nil},
		"watch that ends": {"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", []string{"{}"}, true, nil},
		"cut off by the last chunk": {"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n6\r\n{}{\"a\"\r\n0\r\n\r\n",
			[]string{"{}"}, true, errCutOff},
		"stated length":         {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{}\n[]", []string{"{}", "[]"}, true, nil},
		"cut off by its length": {"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n{\"a\":1}", nil, true, errCutOff},
		"indented": {"HTTP/1.1 200 OK\r\n\r\n {\n\t\"a\": [\n\t\t{\"b\": 1}\n\t]\n}\n \n{\r\n}",
			[]string{"{\n\t\"a\": [\n\t\t{\"b\": 1}\n\t]\n}", "{\r\n}"}, false, nil},
		"brackets in strings": {"HTTP/1.1 200 OK\r\n\r\n{\"}\\\"]\":\"\\\\\"}{\"a\":\"\n\"}",
			[]string{`{"}\"]":"\\"}`, "{\"a\":\"\n\"}"}, false, nil},
		"no JSON":      {"HTTP/1.1 200 OK\r\n\r\n{}\nnoise", []string{"{}"}, false, errNotJSON},
		"refused":      {"HTTP/1.1 503 Busy\r\nContent-Length: 5\r\n\r\nBusy\n", nil, true, nil},
		"not HTTP":     {"SSH-2.0\r\n\r\n", nil, false, errMalformed},
		"bad chunk":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", nil, false, errMalformed},
		"bad length":   {"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", nil, false, errMalformed},
		"endless head": {"HTTP/1.1 200 OK\r\n" + strings.Repeat("a: b\r\n", 4000), nil, false, errTooLong},
	} {
		t.Run(name, func(t *testing.T) {
			for _, size := range []int{1, 2, 3, 7, len(c.in)} {
				var r reply
				var got []string
				var err error
				for part := range slices.Chunk([]byte(c.in), size) {
					if err = r.feed(part, func(value []byte) error { got = append(got, string(value)); return nil }); err != nil {
						break
					}
				}
				if !errors.Is(err, c.fails) {
					t.Fatalf("in pieces of %d: error %v, want %v", size, err, c.fails)
				}
				if diff := cmp.Diff(c.want, got); diff != "" || r.ended != c.ended {
					t.Fatalf("in pieces of %d: ended %v: %s", size, r.ended, diff)
				}
			}
		})
	}
}

// TestEndlessValue: a list that never closes its brackets does not take all memory.
func TestEndlessValue(t *testing.T) {
	var r reply
	err := r.feed([]byte("HTTP/1.1 200 OK\r\n\r\n["), nil)
	for part := []byte(strings.Repeat(" ", 1<<20)); err == nil && len(r.values.buf) <= 2*maxValue; {
		err = r.feed(part, nil)
	}
	if !errors.Is(err, errTooLong) {
		t.Errorf("error %v with %d bytes kept", err, len(r.values.buf))
	}
}
