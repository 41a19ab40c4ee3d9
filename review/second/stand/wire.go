package stand

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"strings"
)

// Message is one message of the PostgreSQL protocol, version 3.
type Message struct {
	Type byte
	Body []byte
}

// ReadMessage reads one message after the startup.
func ReadMessage(r *bufio.Reader) (Message, error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return Message{}, err
	}
	n := binary.BigEndian.Uint32(head[1:])
	if n < 4 || n > 1<<20 {
		return Message{}, errors.New("a message of a wrong length")
	}
	body := make([]byte, n-4)
	if _, err := io.ReadFull(r, body); err != nil {
		return Message{}, err
	}
	return Message{head[0], body}, nil
}

// ReadStartup reads a startup message.
func ReadStartup(r *bufio.Reader) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n < 8 || n > 10000 {
		return errors.New("a startup message of a wrong length")
	}
	_, err := io.ReadFull(r, make([]byte, n-4))
	return err
}

// Append appends one message.
func Append(dst []byte, typ byte, body ...byte) []byte {
	dst = append(dst, typ)
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(body)+4))
	return append(dst, body...)
}

// AppendStartup appends a client's startup message.
func AppendStartup(dst []byte) []byte {
	body := "\x00\x03\x00\x00user\x00backend\x00database\x00store\x00\x00"
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(body)+4))
	return append(dst, body...)
}

// AppendWelcome appends a server's answer to a startup message.
func AppendWelcome(dst []byte) []byte {
	return Append(Append(dst, 'R', 0, 0, 0, 0), 'Z', 'I')
}

// AppendQuery appends a simple query.
func AppendQuery(dst []byte, sql string) []byte {
	return Append(dst, 'Q', append([]byte(sql), 0)...)
}

// AppendRow appends the description and the row of one binary value.
func AppendRow(dst []byte, value []byte) []byte {
	d := []byte{0, 1}
	d = append(d, "content\x00"...)
	d = append(d, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1)
	dst = Append(dst, 'T', d...)
	row := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	return Append(dst, 'D', append(row, value...)...)
}

// AppendComplete appends CommandComplete.
func AppendComplete(dst []byte) []byte { return Append(dst, 'C', []byte("SELECT 1\x00")...) }

// AppendStatus appends a ParameterStatus.
func AppendStatus(dst []byte, name, value string) []byte {
	return Append(dst, 'S', []byte(name+"\x00"+value+"\x00")...)
}

// AppendReady appends ReadyForQuery.
func AppendReady(dst []byte) []byte { return Append(dst, 'Z', 'I') }

// AppendError appends an ErrorResponse.
func AppendError(dst []byte, code, text string) []byte {
	return Append(dst, 'E', []byte("SERROR\x00VERROR\x00C"+code+"\x00M"+text+"\x00\x00")...)
}

// ErrorCode returns the code of an ErrorResponse.
func ErrorCode(body []byte) string {
	for _, f := range strings.Split(string(body), "\x00") {
		if len(f) > 0 && f[0] == 'C' {
			return f[1:]
		}
	}
	return ""
}

// Field returns a value of the comment that ends a statement.
func Field(sql, name string) string {
	i := strings.LastIndex(sql, "/*")
	if i < 0 {
		return ""
	}
	for _, f := range strings.Split(strings.Trim(sql[i+2:], " */"), ",") {
		if k, v, ok := strings.Cut(strings.TrimSpace(f), "="); ok && k == name {
			return v
		}
	}
	return ""
}

// Key returns the first quoted value of a statement.
func Key(sql string) string {
	_, rest, _ := strings.Cut(sql, "'")
	key, _, _ := strings.Cut(rest, "'")
	return key
}
