package pgwire

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"unsafe"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

const readSQL = "SELECT content FROM kv WHERE name = '7f3a' /* id=9b1f,c=basket,d=480,cluster=2,after=1767225600123 */"

func TestParseStatement(t *testing.T) {
	for name, c := range map[string]struct {
		sql       string
		want      Statement
		forwarded string // the statement as sent to a server, with a time limit of 250 ms
		err       error
	}{
		"read": {readSQL,
			Statement{ID: "9b1f", Class: "basket", TimeoutMs: 480, Group: 2, AfterMs: 1767225600123, SessionKey: "7f3a"},
			"SELECT content FROM kv WHERE name = '7f3a' /* id=9b1f,c=basket,d=250,cluster=2,after=1767225600123 */", nil},
		"write, retry, unknown keys": {
			`INSERT INTO kv (name, content) VALUES ('7f3a', '\x2f2a') RETURNING content /* k=9,id=1,r=1,zone=x, d=20.5 ,c=order,cluster=0 */;`,
			Statement{ID: "1", Class: "order", TimeoutMs: 20.5, Retry: true, SessionKey: "7f3a", IsWrite: true},
			`INSERT INTO kv (name, content) VALUES ('7f3a', '\x2f2a') RETURNING content /* k=9,id=1,r=1,zone=x, d=250 ,c=order,cluster=0 */;`, nil},
		"comment within the value": {"SELECT '/* id=0,c=x,d=1 */' /* id=2,c=a,d=3,cluster=0 */",
			Statement{ID: "2", Class: "a", TimeoutMs: 3, SessionKey: "/* id=0,c=x,d=1 */"},
			"SELECT '/* id=0,c=x,d=1 */' /* id=2,c=a,d=250,cluster=0 */", nil},
		"no comment":                {"SELECT 1", Statement{}, "", ErrNoComment},
		"comment not last":          {"SELECT /* id=2,c=a,d=3 */ 1", Statement{}, "", ErrNoComment},
		"no time-out":               {"SELECT 1 /* id=2,c=a */", Statement{}, "", ErrNoComment},
		"overlapping comment marks": {"SELECT 1 /*/", Statement{}, "", ErrNoComment},
		"time-out is NaN":           {"SELECT 1 /* id=2,c=a,d=NaN */", Statement{}, "", cmpopts.AnyError},
		"time-out not a number":     {"SELECT 1 /* id=2,c=a,d=soon,cluster=1 */", Statement{}, "", cmpopts.AnyError},
		"negative time-out":         {"SELECT 1 /* id=2,c=a,d=-5,cluster=1 */", Statement{}, "", cmpopts.AnyError},
		"no group":                  {"SELECT 1 /* id=2,c=a,d=3 */", Statement{}, "", ErrNoComment},
		"no id":                     {"SELECT 1 /* c=a,d=3,cluster=1 */", Statement{}, "", ErrNoComment},
		"id too long": {"SELECT 1 /* id=" + strings.Repeat("9", 300) + ",c=a,d=3,cluster=1 */", Statement{}, "",
			ErrNoComment},
		"comment too long": {"SELECT 1 /* " + strings.Repeat("a=1,", 1<<10) + "id=2,c=a,d=3,cluster=1 */", Statement{}, "",
			ErrNoComment},
		"long comment": {"SELECT 1 /* " + strings.Repeat("a=1,", 1000) + "id=2,c=a,d=3,cluster=1 */",
			Statement{ID: "2", Class: "a", TimeoutMs: 3, Group: 1},
			"SELECT 1 /* " + strings.Repeat("a=1,", 1000) + "id=2,c=a,d=250,cluster=1 */", nil},
		"key given twice":       {"SELECT 1 /* id=2,c=a,d=3,cluster=1,id=3 */", Statement{}, "", cmpopts.AnyError},
		"negative position":     {"SELECT 1 /* id=2,c=a,d=3,cluster=1,after=-7 */", Statement{}, "", cmpopts.AnyError},
		"unsupported statement": {"DROP TABLE kv /* id=2,c=a,d=3,cluster=1 */", Statement{}, "", ErrStatement},
		"group not a number":    {"SELECT 1 /* id=2,c=a,d=1,cluster=q */", Statement{}, "", cmpopts.AnyError},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := ParseStatement(c.sql)
			if !cmp.Equal(err, c.err, cmpopts.EquateErrors()) {
				t.Fatalf("error %v, want %v", err, c.err)
			}
			if diff := cmp.Diff(c.want, got, cmpopts.IgnoreUnexported(Statement{})); diff != "" {
				t.Error(diff)
			}
			if err == nil {
				if diff := cmp.Diff(string(AppendQuery(nil, c.forwarded)), string(got.AppendQuery(nil, 250))); diff != "" {
					t.Error(diff)
				}
			}
		})
	}
}

// TestReaderInPieces guards against returning an incomplete message, or losing a message, when the input arrives in pieces.
func TestReaderInPieces(t *testing.T) {
	ssl := []byte{0, 0, 0, 8, 4, 210, 22, 47}
	stream := append(ssl, AppendStartup(nil, "u", "d")...)
	stream = AppendReady(AppendQuery(AppendQuery(stream, readSQL), ""))
	want := []string{"startup 1", "startup 0", "Q" + readSQL + "\x00", "Q\x00", "ZI"}
	for size := 1; size <= len(stream); size++ {
		reader := NewReader(1 << 10)
		var got []string
		for part := range slices.Chunk(stream, size) {
			reader.Feed(part)
			for len(got) < 2 {
				kind, _, ok, err := reader.Startup()
				if err != nil {
					t.Fatal(err)
				}
				if !ok {
					break
				}
				got = append(got, []string{"startup 0", "startup 1"}[kind])
			}
			for len(got) >= 2 {
				message, ok, err := reader.Next()
				if err != nil {
					t.Fatal(err)
				}
				if !ok {
					break
				}
				got = append(got, string(message.Type)+string(message.Body))
			}
		}
		if diff := cmp.Diff(want, got); diff != "" || reader.Buffered() != 0 {
			t.Fatalf("in pieces of %d, %d bytes left: %s", size, reader.Buffered(), diff)
		}
	}
}

// TestReaderSkipsMessage tests that a message whose body is discarded is returned with its type and size once all of it has
// arrived, and that the messages around it are not affected. The buffer that is passed to Borrow is reused for each piece.
func TestReaderSkipsMessage(t *testing.T) {
	long := strings.Repeat("x", 500)
	stream := AppendReady(AppendQuery(AppendQuery(AppendQuery(nil, "first"), long), "last"))
	for size := 1; size <= len(stream); size++ {
		reader, borrowed := NewReader(1<<10), make([]byte, len(stream))
		var got []string
		for part := range slices.Chunk(stream, size) {
			reader.Borrow(borrowed[:copy(borrowed, part)])
			for {
				message, ok, err := reader.Next()
				if err != nil {
					t.Fatal(err)
				}
				if !ok {
					break
				}
				got = append(got, fmt.Sprintf("%c %d %s %v", message.Type, message.Size, message.Body, message.Skipped))
			}
			if reader.IncompleteSize() > 100 {
				reader.SkipMessage()
			}
			reader.Keep()
			if n := reader.MemoryBytes(); n > 128 {
				t.Fatalf("in pieces of %d, the reader holds %d bytes, want at most 128", size, n)
			}
		}
		whole := fmt.Sprintf("Q %d %s\x00 false", len(long)+6, long) // arrived in one piece
		want := []string{"Q 11 first\x00 false", fmt.Sprintf("Q %d  true", len(long)+6), "Q 10 last\x00 false", "Z 6 I false"}
		if len(got) > 1 && got[1] == whole {
			want[1] = whole
		}
		if diff := cmp.Diff(want, got); diff != "" || !reader.AtBoundary() {
			t.Fatalf("in pieces of %d: %s", size, diff)
		}
	}
}

// TestReaderBounds checks that messages with an invalid length or an unsupported version are rejected.
func TestReaderBounds(t *testing.T) {
	for name, b := range map[string][]byte{
		"message longer than the maximum":     {'Q', 0, 0, 8, 0},
		"length that does not include itself": {'Q', 0, 0, 0, 3},
		"length of 4 GiB":                     {'Q', 255, 255, 255, 255},
	} {
		reader := NewReader(1 << 10)
		reader.Feed(b)
		if _, _, err := reader.Next(); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: error %v, want ErrMalformed", name, err)
		}
	}
	for name, b := range map[string][]byte{
		"startup too long": {0, 1, 0, 0, 0, 3, 0, 0},
		"version 2":        {0, 0, 0, 8, 0, 2, 0, 0},
	} {
		reader := NewReader(1 << 10)
		reader.Feed(b)
		if _, _, _, err := reader.Startup(); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: error %v, want ErrMalformed", name, err)
		}
	}
}

func TestParseBodies(t *testing.T) {
	message := AppendError(nil, "ERROR", "53300", "full", "250")
	if got := ErrorCode(message[5:]); got != "53300" {
		t.Errorf("code %q, want 53300", got)
	}
	for _, bad := range []string{"", "C", "C53300", "\x00"} {
		if got := ErrorCode([]byte(bad)); got != "" {
			t.Errorf("%q: code %q, want none", bad, got)
		}
	}
	if got, err := ParseColumn([]byte("\x00\x01\x00\x00\x00\x02ab")); string(got) != "ab" || err != nil {
		t.Errorf("column %q, error %v; want column ab", got, err)
	}
	for _, bad := range []string{"", "\x00\x02\x00\x00\x00\x00", "\x00\x01\x00\x00\x00\x03ab"} {
		if _, err := ParseColumn([]byte(bad)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: error %v, want ErrMalformed", bad, err)
		}
	}
}

// TestSessionKeyDoesNotRetainStatement guards against session keys that keep complete statements in memory. The key is
// stored long after the statement, which may hold a large value; a substring of the statement would retain all of its text.
func TestSessionKeyDoesNotRetainStatement(t *testing.T) {
	sql := strings.Clone("INSERT INTO kv (name, content) VALUES ('7f3a', '" + strings.Repeat("0", 1<<16) +
		"') RETURNING content /* id=1,c=order,d=480,cluster=2 */")
	stmt, err := ParseStatement(sql)
	if err != nil || stmt.SessionKey != "7f3a" {
		t.Fatalf("key %q, error %v; want key 7f3a", stmt.SessionKey, err)
	}
	start, key := uintptr(unsafe.Pointer(unsafe.StringData(sql))), uintptr(unsafe.Pointer(unsafe.StringData(stmt.SessionKey)))
	if key >= start && key < start+uintptr(len(sql)) {
		t.Error("the key shares the memory of the statement")
	}
}
