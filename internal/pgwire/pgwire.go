// Package pgwire reads and builds messages of version 3 of the PostgreSQL protocol. Reading is incremental, and the length of
// messages is limited. The package does no I/O.
package pgwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
)

// Codes that follow the length in a startup message (the protocol version or the kind of the request), and limits.
const (
	ProtocolVersion    = 196608 // version 3.0
	codeCancel         = 80877102
	codeSSL            = 80877103
	codeGSSEnc         = 80877104
	maxStartupBytes    = 10000   // the limit of PostgreSQL itself
	maxKeptBufferBytes = 1 << 14 // capacity up to which a Reader keeps its buffer when it is empty
)

// ErrMalformed is wrapped by every error about input that violates the protocol.
var ErrMalformed = errors.New("malformed message")

// Message is one message. Body and Raw are valid until the Reader is fed again.
type Message struct {
	Type byte
	Body []byte
	Raw  []byte // the message with its type and length
}

// StartupKind is the kind of a message that a client sends before its session has started.
type StartupKind int

// Kinds of startup messages.
const (
	StartupPlain   StartupKind = iota // a startup message
	StartupEncrypt                    // a request for encryption: answer 'N'
	StartupCancel                     // a cancel request: close without an answer
)

// Reader splits a stream of bytes into messages.
type Reader struct {
	buf []byte
	off int
	max int
}

// NewReader returns a Reader for messages of at most max bytes.
func NewReader(max int) Reader { return Reader{max: max} }

// Feed appends a copy of b to the input.
func (r *Reader) Feed(b []byte) {
	if r.off == len(r.buf) {
		r.buf, r.off = r.buf[:0], 0
	} else if r.off > 1<<12 && r.off > len(r.buf)/2 { // over 4 KiB and over half of the buffer have been returned
		r.buf = r.buf[:copy(r.buf, r.buf[r.off:])]
		r.off = 0
	}
	r.buf = append(r.buf, b...)
}

// Buffered returns the number of input bytes that have not been returned in messages.
func (r *Reader) Buffered() int { return len(r.buf) - r.off }

// NextType returns the type of the next message, which is its first byte.
func (r *Reader) NextType() (typ byte, ok bool) {
	if r.off == len(r.buf) {
		return 0, false
	}
	return r.buf[r.off], true
}

// Reset discards the input.
func (r *Reader) Reset() { r.buf, r.off = nil, 0 }

// Startup returns the kind of the next message of a connection whose session has not started, and false if the message is not
// complete yet.
func (r *Reader) Startup() (StartupKind, bool, error) {
	input := r.buf[r.off:]
	if len(input) < 8 {
		return 0, false, nil
	}
	length, code := binary.BigEndian.Uint32(input), binary.BigEndian.Uint32(input[4:])
	if length < 8 || length > maxStartupBytes {
		return 0, false, fmt.Errorf("%w: startup of %d bytes", ErrMalformed, length)
	}
	if len(input) < int(length) {
		return 0, false, nil
	}
	r.off += int(length)
	switch {
	case code == codeSSL || code == codeGSSEnc:
		return StartupEncrypt, true, nil
	case code == codeCancel:
		return StartupCancel, true, nil
	case code>>16 == ProtocolVersion>>16: // any minor version
		return StartupPlain, true, nil
	}
	return 0, false, fmt.Errorf("%w: protocol version %d.%d", ErrMalformed, code>>16, code&0xffff)
}

// Next returns the next message, and false if it is not complete yet.
func (r *Reader) Next() (Message, bool, error) {
	input := r.buf[r.off:]
	if len(input) < 5 {
		return Message{}, false, nil
	}
	length := binary.BigEndian.Uint32(input[1:])
	if length < 4 || int64(length) > int64(r.max) {
		return Message{}, false, fmt.Errorf("%w: type %q with length %d", ErrMalformed, input[0], length)
	}
	if len(input) < int(length)+1 {
		return Message{}, false, nil
	}
	r.off += int(length) + 1
	if r.off == len(r.buf) && cap(r.buf) > maxKeptBufferBytes {
		r.buf, r.off = nil, 0 // only the returned message still refers to the buffer
	}
	return Message{Type: input[0], Body: input[5 : length+1], Raw: input[:length+1]}, true, nil
}

// beginMessage appends a message's type and a placeholder for its length. It also returns the offset of the length, for
// endMessage.
func beginMessage(dst []byte, typ byte) ([]byte, int) {
	return append(dst, typ, 0, 0, 0, 0), len(dst) + 1
}

// endMessage sets the length of the message that ends dst. lengthAt is the offset of the length.
func endMessage(dst []byte, lengthAt int) []byte {
	binary.BigEndian.PutUint32(dst[lengthAt:], uint32(len(dst)-lengthAt))
	return dst
}

// appendStr appends a string and its terminating zero byte.
func appendStr(dst []byte, s string) []byte { return append(append(dst, s...), 0) }

// AppendStartup appends a client's startup message.
func AppendStartup(dst []byte, user, database string) []byte {
	lengthAt := len(dst)
	dst = append(dst, 0, 0, 0, 0)
	dst = binary.BigEndian.AppendUint32(dst, ProtocolVersion)
	for _, s := range []string{"user", user, "database", database} {
		dst = appendStr(dst, s)
	}
	return endMessage(append(dst, 0), lengthAt)
}

// AppendQuery appends a simple query.
func AppendQuery(dst []byte, sql ...string) []byte {
	dst, lengthAt := beginMessage(dst, 'Q')
	for _, s := range sql {
		dst = append(dst, s...)
	}
	return endMessage(append(dst, 0), lengthAt)
}

// AppendStartupReply appends a server's answer to a startup message, including ReadyForQuery.
func AppendStartupReply(dst []byte) []byte {
	dst, lengthAt := beginMessage(dst, 'R')
	dst = endMessage(append(dst, 0, 0, 0, 0), lengthAt)
	for _, p := range [][2]string{{"server_version", "15.0"}, {"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"}, {"standard_conforming_strings", "on"}} {
		dst = AppendParameter(dst, p[0], p[1])
	}
	return AppendReady(dst)
}

// AppendParameter appends a ParameterStatus.
func AppendParameter(dst []byte, name, value string) []byte {
	dst, lengthAt := beginMessage(dst, 'S')
	return endMessage(appendStr(appendStr(dst, name), value), lengthAt)
}

// oidBytea is the object identifier of type bytea, which every column has.
const oidBytea = 17

// AppendRow appends the RowDescription and the DataRow of one value. A nil value is NULL.
func AppendRow(dst []byte, column string, value []byte) []byte {
	dst, lengthAt := beginMessage(dst, 'T')
	dst = appendStr(append(dst, 0, 1), column)
	dst = append(dst, 0, 0, 0, 0, 0, 0) // the column belongs to no table
	dst = binary.BigEndian.AppendUint32(dst, oidBytea)
	dst = append(dst, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1) // unknown size and modifier, binary format
	dst, lengthAt = beginMessage(endMessage(dst, lengthAt), 'D')
	dst = append(dst, 0, 1)
	if value == nil {
		return endMessage(append(dst, 0xff, 0xff, 0xff, 0xff), lengthAt)
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(value)))
	return endMessage(append(dst, value...), lengthAt)
}

// AppendReady appends a ReadyForQuery whose status is idle, that is outside a transaction.
func AppendReady(dst []byte) []byte { return append(dst, 'Z', 0, 0, 0, 5, 'I') }

// AppendEmpty appends EmptyQueryResponse.
func AppendEmpty(dst []byte) []byte { return append(dst, 'I', 0, 0, 0, 4) }

// AppendComplete appends CommandComplete.
func AppendComplete(dst []byte, tag string) []byte {
	dst, lengthAt := beginMessage(dst, 'C')
	return endMessage(appendStr(dst, tag), lengthAt)
}

// AppendError appends an ErrorResponse, without the detail field if detail is empty.
func AppendError(dst []byte, severity, code, text, detail string) []byte {
	dst, lengthAt := beginMessage(dst, 'E')
	for _, f := range []struct {
		key byte
		val string
	}{{'S', severity}, {'V', severity}, {'C', code}, {'M', text}, {'D', detail}} {
		if f.val != "" {
			dst = appendStr(append(dst, f.key), f.val)
		}
	}
	return endMessage(append(dst, 0), lengthAt)
}

// ErrorCode returns the SQLSTATE in the body of an ErrorResponse, or "" if it has none.
func ErrorCode(body []byte) string {
	for len(body) > 1 {
		val, rest, ok := bytes.Cut(body[1:], []byte{0})
		if !ok {
			return ""
		}
		if body[0] == 'C' {
			return string(val)
		}
		body = rest
	}
	return ""
}

// ParseParameter parses the body of a ParameterStatus.
func ParseParameter(body []byte) (name, value string, err error) {
	n, rest, ok := bytes.Cut(body, []byte{0})
	v, rest, ok2 := bytes.Cut(rest, []byte{0})
	if !ok || !ok2 || len(rest) > 0 {
		return "", "", fmt.Errorf("%w: ParameterStatus", ErrMalformed)
	}
	return string(n), string(v), nil
}

// ParseColumn parses the body of a DataRow of one column.
func ParseColumn(body []byte) ([]byte, error) {
	if len(body) < 6 || binary.BigEndian.Uint16(body) != 1 {
		return nil, fmt.Errorf("%w: DataRow is not of one column", ErrMalformed)
	}
	length := int32(binary.BigEndian.Uint32(body[2:]))
	if length == -1 && len(body) == 6 {
		return nil, nil
	}
	if int(length) != len(body)-6 {
		return nil, fmt.Errorf("%w: DataRow", ErrMalformed)
	}
	return body[6:], nil
}

// ParseText parses a body that is one zero-terminated string.
func ParseText(body []byte) (string, error) {
	if i := bytes.IndexByte(body, 0); i >= 0 && i == len(body)-1 {
		return string(body[:i]), nil
	}
	return "", fmt.Errorf("%w: text without its end", ErrMalformed)
}
