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
	ProtocolVersion = 196608 // version 3.0
	codeCancel      = 80877102
	codeSSL         = 80877103
	codeGSSEnc      = 80877104
	maxStartupBytes = 10000 // the limit of PostgreSQL itself
)

// ErrMalformed is wrapped by every error about input that violates the protocol.
var ErrMalformed = errors.New("malformed message")

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
