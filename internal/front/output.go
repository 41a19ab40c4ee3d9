package front

import "beechgrade/internal/pgwire"

// send writes a message to the client, or adds it to the batch while the session's commands are processed.
func (s *session) send(message []byte) {
	if c := cap(message); c > cap(s.front.scratch) && c <= maxKeptBufferBytes {
		s.front.scratch = message[:0]
	}
	switch {
	case s.closed || len(message) == 0:
	case s.front.batching == s:
		if s.front.batch = append(s.front.batch, message...); len(s.front.batch) > maxBatchBytes {
			s.writeBatch()
		}
	default:
		_ = s.conn.Write(message) // a failed write closes the connection
	}
}

// flush ends the batch of messages and writes it.
func (s *session) flush() {
	if s.front.batching != s {
		return
	}
	s.front.batching = nil
	s.writeBatch()
}

// writeBatch writes the messages in the batch.
func (s *session) writeBatch() {
	batch := s.front.batch
	s.front.batch = batch[:0]
	if !s.closed && len(batch) > 0 {
		_ = s.conn.Write(batch) // a failed write closes the connection
	}
}

// respond answers a command that is not a request.
func (s *session) respond(response []byte) {
	if len(s.commands) > 0 {
		s.enqueue(0).respond(response)
		return
	}
	s.send(response)
	s.restartIdleTime()
}

// respondError answers a command that is not accepted as a request with an error.
func (s *session) respondError(code string, err error) {
	s.respond(s.errorResponse(code, err))
}

// errorResponse returns the answer to a command that is not accepted as a request. It is valid until the next message is built.
func (s *session) errorResponse(code string, err error) []byte {
	text := err.Error()
	return pgwire.AppendReady(pgwire.AppendError(s.front.scratch[:0], "ERROR", code, text[:min(len(text), maxErrorBytes)], ""))
}

// fatal ends the session with an error message because the client has violated the protocol. The message is held back while
// there are many such errors.
func (s *session) fatal(code, text string) {
	if s.closed || s.ended {
		return
	}
	cmd := s.stopAccepting()
	respond := func() { cmd.respond(pgwire.AppendError(s.front.scratch[:0], "FATAL", code, text, "")) }
	if delayMs := s.errorDelayMs(); delayMs > 0 {
		s.front.loop.At(s.front.loop.Now()+delayMs, respond)
		return
	}
	respond()
}

// turnAway ends the session of a client for which there is no room, and advises it to connect again after retryMs.
func (s *session) turnAway(retryMs float64) {
	s.stopAccepting().respond(pgwire.AppendError(s.front.scratch[:0], "FATAL", codeRefused, "too many clients", retryDetail(retryMs)))
}

// endForShutdown ends the session of a client that sends so many commands that it never rests, because the process is about to end.
func (s *session) endForShutdown() {
	s.stopAccepting().respond(pgwire.AppendError(s.front.scratch[:0], "FATAL", codeUnavailable, "the service ends", ""))
}

// stopAccepting stops accepting commands. The connection ends after the response to the returned command.
func (s *session) stopAccepting() *command {
	s.ended = true
	s.reader.Reset()
	s.arrivals = arrivals{}
	cmd := s.enqueue(0)
	cmd.endsSession = true
	return cmd
}
