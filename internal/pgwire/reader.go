package pgwire

import (
	"encoding/binary"
	"fmt"
)

const (
	// maxKeptBufferBytes is the capacity up to which a Reader keeps its buffer when it is empty.
	maxKeptBufferBytes = 1 << 14
	// headerBytes is the length of a message's type and length.
	headerBytes = 5
	// startupHeaderBytes is the length of a startup message's length and code.
	startupHeaderBytes = 8
)

// Message is one message. Body and Raw are valid until the Reader is given further input.
type Message struct {
	Type    byte
	Body    []byte
	Raw     []byte // the message with its type and length
	Size    int    // length of Raw; also set if the message was skipped
	Skipped bool   // Body and Raw were discarded, see SkipMessage
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
	buf      []byte
	off      int
	max      int
	borrowed bool // buf belongs to the caller of Borrow
	reserved int  // length of the incomplete message for which Reserve was called, 0 if none

	// A message whose body is discarded as it arrives.
	skipping  bool
	skipLeft  int // bytes that have not arrived yet
	skipped   Message
	startKind StartupKind // of a startup message, of which only the code matters
}

// NewReader returns a Reader for messages of at most max bytes.
func NewReader(max int) Reader { return Reader{max: max} }

// Feed appends a copy of b to the input.
func (r *Reader) Feed(b []byte) {
	if b = r.discard(b); len(b) == 0 {
		return
	}
	if r.off == len(r.buf) {
		r.buf, r.off = r.buf[:0], 0
	} else if r.off > 1<<12 && r.off > len(r.buf)/2 { // over 4 KiB and over half of the buffer have been returned
		r.buf = r.buf[:copy(r.buf, r.buf[r.off:])]
		r.off = 0
	}
	if missing := r.off + r.reserved - cap(r.buf); r.reserved > 0 && missing > 0 {
		r.buf = append(make([]byte, 0, max(r.reserved, r.Buffered()+len(b))), r.buf[r.off:]...)
		r.off = 0
	}
	r.buf = append(r.buf, b...)
}

// Borrow appends b to the input without a copy if there is no other input. The caller has to call Keep before it changes b.
func (r *Reader) Borrow(b []byte) {
	if r.Buffered() > 0 {
		r.Feed(b)
		return
	}
	r.buf, r.off, r.borrowed = r.discard(b), 0, true
}

// Keep copies input that was passed to Borrow and is still needed, and releases the buffer if there is no input.
func (r *Reader) Keep() {
	switch {
	case r.Buffered() == 0:
		r.buf, r.off = nil, 0
	case r.borrowed:
		r.buf = append(make([]byte, 0, max(r.reserved, r.Buffered())), r.buf[r.off:]...)
		r.off = 0
	}
	r.borrowed = false
}

// discard takes the bytes of a skipped message from b and returns the rest.
func (r *Reader) discard(b []byte) []byte {
	n := min(r.skipLeft, len(b))
	r.skipLeft -= n
	return b[n:]
}

// Buffered returns the number of input bytes that have not been returned in messages.
func (r *Reader) Buffered() int { return len(r.buf) - r.off }

// AtBoundary reports whether no part of a further message has been received.
func (r *Reader) AtBoundary() bool { return r.Buffered() == 0 && !r.skipping }

// MemoryBytes returns the memory that the Reader holds or has been reserved, in bytes.
func (r *Reader) MemoryBytes() int {
	if r.borrowed {
		return max(r.reserved, r.Buffered())
	}
	return max(r.reserved, cap(r.buf))
}

// NextType returns the type of the next message, which is its first byte.
func (r *Reader) NextType() (typ byte, ok bool) {
	if r.off == len(r.buf) {
		return 0, false
	}
	return r.buf[r.off], true
}

// Reset discards the input.
func (r *Reader) Reset() { *r = Reader{max: r.max} }

// Startup returns the kind and the length of the next message of a connection whose session has not started, and false if the
// message is not complete yet. Only its code is kept in memory.
func (r *Reader) Startup() (kind StartupKind, size int, ok bool, err error) {
	if !r.skipping {
		input := r.buf[r.off:]
		if len(input) < startupHeaderBytes {
			return 0, 0, false, nil
		}
		length, code := binary.BigEndian.Uint32(input), binary.BigEndian.Uint32(input[4:])
		if length < startupHeaderBytes || length > maxStartupBytes {
			return 0, 0, false, fmt.Errorf("%w: startup of %d bytes", ErrMalformed, length)
		}
		if r.startKind, err = startupKind(code); err != nil {
			return 0, 0, false, err
		}
		r.skip(Message{Size: int(length)})
	}
	if r.skipLeft > 0 {
		return 0, 0, false, nil
	}
	r.skipping = false
	return r.startKind, r.skipped.Size, true, nil
}

// startupKind returns the kind of a startup message with the given code.
func startupKind(code uint32) (StartupKind, error) {
	switch {
	case code == codeSSL || code == codeGSSEnc:
		return StartupEncrypt, nil
	case code == codeCancel:
		return StartupCancel, nil
	case code>>16 == ProtocolVersion>>16: // any minor version
		return StartupPlain, nil
	}
	return 0, fmt.Errorf("%w: protocol version %d.%d", ErrMalformed, code>>16, code&0xffff)
}

// Next returns the next message, and false if it is not complete yet.
func (r *Reader) Next() (Message, bool, error) {
	if r.skipping {
		if r.skipLeft > 0 {
			return Message{}, false, nil
		}
		r.skipping = false
		return r.skipped, true, nil
	}
	input := r.buf[r.off:]
	if len(input) < headerBytes {
		return Message{}, false, nil
	}
	length := binary.BigEndian.Uint32(input[1:])
	if length < 4 || int64(length) > int64(r.max) {
		return Message{}, false, fmt.Errorf("%w: type %q with length %d", ErrMalformed, input[0], length)
	}
	size := int(length) + 1
	if len(input) < size {
		return Message{}, false, nil
	}
	r.off += size
	r.reserved = 0
	if r.off == len(r.buf) && cap(r.buf) > maxKeptBufferBytes {
		r.buf, r.off, r.borrowed = nil, 0, false // only the returned message still refers to the buffer
	}
	return Message{Type: input[0], Body: input[headerBytes:size], Raw: input[:size], Size: size}, true, nil
}

// IncompleteSize returns the length of the next message, with its type and length, if its header has been received but not all
// of it. Next must have accepted the header. It returns 0 if there is no such message or SkipMessage was called for it.
func (r *Reader) IncompleteSize() int {
	if r.skipping || r.Buffered() < headerBytes {
		return 0
	}
	return int(binary.BigEndian.Uint32(r.buf[r.off+1:])) + 1
}

// Reserve records that the incomplete message of the given length will be kept in memory.
func (r *Reader) Reserve(size int) { r.reserved = size }

// Reserved reports whether Reserve was called for the incomplete message.
func (r *Reader) Reserved() bool { return r.reserved > 0 }

// Skipping reports whether a message is being discarded as it arrives.
func (r *Reader) Skipping() bool { return r.skipping }

// SkipMessage discards the incomplete message. Next returns it with its type and size once all of it has arrived.
func (r *Reader) SkipMessage() {
	r.skip(Message{Type: r.buf[r.off], Size: r.IncompleteSize(), Skipped: true})
}

// skip discards the next message, of which message holds what is returned once it is complete.
func (r *Reader) skip(message Message) {
	received := min(message.Size, r.Buffered())
	r.off += received
	r.skipping, r.skipLeft, r.skipped, r.reserved = true, message.Size-received, message, 0
}
