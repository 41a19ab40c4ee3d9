package pgwire

import (
	"bytes"
	"encoding/binary"
	"fmt"
)

const (
	// maxValueBytes is the maximum length of a value. The protocol of the platform allows 64 KiB, but its servers send more.
	maxValueBytes = 1 << 20
	// maxOtherMessageBytes is the maximum length of any message other than a DataRow.
	maxOtherMessageBytes = 8 << 10
	// maxNonRowBytes is the maximum length of all messages of one answer together, except the DataRow.
	maxNonRowBytes = 1 << 17
)

// MaxMessageBytes is the maximum length of a message that an Answer accepts. The length of a DataRow includes 10 bytes beside its
// value.
const MaxMessageBytes = maxValueBytes + 10

// phase is the message of an answer that is expected next, apart from errors, notices and parameters.
type phase uint8

const (
	phaseAuth            phase = iota // AuthenticationOk, the first reply to a startup message
	phaseStartup                      // the other replies to a startup message, up to ReadyForQuery
	phaseRowDescription               // RowDescription, the first message of the answer to a statement
	phaseDataRow                      // DataRow
	phaseCommandComplete              // CommandComplete
	phaseReady                        // ReadyForQuery
	phaseDone                         // none: ReadyForQuery was received
)

// Answer reads a server's messages up to ReadyForQuery. It accepts a single form of answer: one complete row of one column, or
// an error. If a server sends anything else, the rest of its answer cannot be trusted either.
type Answer struct {
	phase       phase
	received    bool   // at least one message was received
	nonRowBytes int    // bytes of messages other than DataRow
	Succeeded   bool   // a complete row was received, and no error
	ErrorCode   string // SQLSTATE of the error
}

// NewStartupAnswer returns an Answer that expects the reply to a startup message.
func NewStartupAnswer() Answer { return Answer{phase: phaseAuth} }

// NewQueryAnswer returns an Answer that expects the reply to a statement.
func NewQueryAnswer() Answer { return Answer{phase: phaseRowDescription} }

// Done reports whether ReadyForQuery has been received.
func (a *Answer) Done() bool { return a.phase == phaseDone }

// Empty reports whether no message has been received yet.
func (a *Answer) Empty() bool { return !a.received }

// Next reads the answer's next message from r, and returns false if it is not complete yet. An invalid message is an error as
// soon as its first bytes show it, as the rest may never arrive.
func (a *Answer) Next(r *Reader) (Message, bool, error) {
	if err := a.checkHeader(r.buf[r.off:]); err != nil {
		return Message{}, false, err
	}
	message, ok, err := r.Next()
	if err != nil || !ok {
		return Message{}, false, err
	}
	if a.received = true; message.Type != 'D' {
		a.nonRowBytes += len(message.Raw)
	}
	if a.nonRowBytes > maxNonRowBytes {
		return Message{}, false, fmt.Errorf("%w: over %d bytes beside the row", ErrMalformed, maxNonRowBytes)
	}
	if err := a.accept(message); err != nil {
		return Message{}, false, err
	}
	return message, true, nil
}

// expected reports whether a message of this type may come next.
func (a *Answer) expected(typ byte) bool {
	switch typ {
	case 'N', 'S':
		return a.phase != phaseAuth && a.phase != phaseDone
	case 'E':
		return a.phase != phaseReady && a.phase != phaseDone
	case 'R':
		return a.phase == phaseAuth
	case 'K':
		return a.phase == phaseStartup
	case 'T':
		return a.phase == phaseRowDescription
	case 'D':
		return a.phase == phaseDataRow
	case 'C':
		return a.phase == phaseCommandComplete
	case 'Z':
		return a.phase == phaseStartup && a.ErrorCode == "" || a.phase == phaseReady
	}
	return false
}

// checkHeader checks the available bytes of the next message.
func (a *Answer) checkHeader(input []byte) error {
	if len(input) == 0 {
		return nil
	}
	if !a.expected(input[0]) {
		return fmt.Errorf("%w: type %q is not due", ErrMalformed, input[0])
	}
	if len(input) < 5 {
		return nil
	}
	length, maxLength := binary.BigEndian.Uint32(input[1:]), uint32(maxOtherMessageBytes)
	switch input[0] {
	case 'D':
		maxLength = MaxMessageBytes
	case 'R':
		maxLength = 8
	case 'Z':
		maxLength = 5
	}
	if length < 4 || length > maxLength {
		return fmt.Errorf("%w: type %q with length %d", ErrMalformed, input[0], length)
	}
	if input[0] == 'D' && len(input) >= 11 { // the type, the length, the number of columns and the length of the value
		if size := int32(binary.BigEndian.Uint32(input[7:])); int64(max(size, 0))+10 != int64(length) || size < -1 {
			return fmt.Errorf("%w: a value of %d bytes in a row of %d", ErrMalformed, size, length)
		}
	}
	return nil
}

// accept checks a complete message of an expected type and moves on to the next phase.
func (a *Answer) accept(message Message) error {
	valid := true
	switch message.Type {
	case 'R':
		valid = len(message.Body) == 4 && binary.BigEndian.Uint32(message.Body) == 0
		a.phase = phaseStartup
	case 'S':
		_, _, err := ParseParameter(message.Body)
		valid = err == nil
	case 'K':
		valid = len(message.Body) >= 8
	case 'N':
		valid = validFields(message.Body)
	case 'E':
		// After an error in reply to a startup message, the server closes the connection without ReadyForQuery.
		a.ErrorCode = ErrorCode(message.Body)
		if valid = validFields(message.Body) && len(a.ErrorCode) == 5; a.phase != phaseStartup && a.phase != phaseAuth {
			a.phase = phaseReady
		}
	case 'T':
		valid = hasOneColumn(message.Body)
		a.phase = phaseDataRow
	case 'D':
		_, err := ParseColumn(message.Body)
		valid = err == nil
		a.phase = phaseCommandComplete
	case 'C':
		_, err := ParseText(message.Body)
		valid = err == nil
		a.phase = phaseReady
	case 'Z':
		if valid = string(message.Body) == "I"; valid {
			a.Succeeded = a.phase == phaseReady && a.ErrorCode == ""
			a.phase = phaseDone
		}
	}
	if !valid {
		return fmt.Errorf("%w: body of type %q", ErrMalformed, message.Type)
	}
	return nil
}

// hasOneColumn reports whether the body of a RowDescription describes one column.
func hasOneColumn(body []byte) bool {
	if len(body) < 2 || binary.BigEndian.Uint16(body) != 1 {
		return false
	}
	_, rest, ok := bytes.Cut(body[2:], []byte{0})
	return ok && len(rest) == 18 // table, attribute number, type, size, modifier and format
}

// validFields reports whether the body of an error or a notice consists of complete fields.
func validFields(body []byte) bool {
	for len(body) > 1 {
		_, rest, ok := bytes.Cut(body[1:], []byte{0})
		if !ok || body[0] == 0 {
			return false
		}
		body = rest
	}
	return len(body) == 1 && body[0] == 0
}
