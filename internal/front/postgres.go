package front

import (
	"container/list"
	"errors"
	"fmt"
	"log/slog"
	"strings"

	"beechgrade/internal/clock"
	"beechgrade/internal/deadline"
	"beechgrade/internal/invariant"
	"beechgrade/internal/loop"
	"beechgrade/internal/metrics"
	"beechgrade/internal/pgwire"
	"beechgrade/internal/slots"
)

const (
	// maxMessageBytes is the maximum length of a client's message: twice the length of a 64 KiB value in hex.
	maxMessageBytes = 1 << 18
	// maxReadAheadBytes is the number of unprocessed bytes at which reading from a client stops while its commands wait.
	maxReadAheadBytes = 1 << 16
	// maxQueuedCommands is the number of unanswered commands that are accepted from one client.
	maxQueuedCommands = 16
	// maxUnsentBytes is the number of unsent answer bytes above which the client's next command waits.
	maxUnsentBytes = 1 << 16
	// unsentRecheckMs is the time until the unsent bytes of such a client are checked again, in milliseconds.
	unsentRecheckMs = 20
	// maxEncryptionRequests is the number of encryption requests that a client may send: one for TLS and one for GSSAPI.
	maxEncryptionRequests = 2
	// maxBatchBytes is the size above which a batch of messages is written before all commands are processed.
	maxBatchBytes = 1 << 14
	// maxErrorBytes is the maximum length of an error's text, which may quote what the client has sent.
	maxErrorBytes = 512
	// maxKeptBufferBytes is the capacity up to which a buffer is kept to build further messages. It holds the largest values.
	maxKeptBufferBytes = 1 << 17
)

// SQLSTATE codes.
const (
	codeProtocol    = "08P01" // protocol_violation
	codeRefused     = "53300" // too_many_connections
	codeUnavailable = "57P03" // cannot_connect_now
	codeFailed      = "58000" // system_error
	codeSyntax      = "42601" // syntax_error
	codeUnsupported = "0A000" // feature_not_supported
)

// Postgres is the front end for the PostgreSQL protocol.
type Postgres struct {
	loop             *loop.Loop
	log              *slog.Logger
	handler          RequestHandler
	budget           Budget
	guard            *invariant.Guard
	sessions         slots.Table[*session]
	sessionsByState  [clientStateCount]list.List // in each list, the session that has been in the state for longest comes first
	draining         bool
	shuttingDown     bool // all connections are closed, and no more requests are accepted
	heldBytes        int  // unprocessed input, queued commands and answers, and unsent bytes of all clients
	openRequestBytes int  // the part of heldBytes that belongs to requests without an answer
	rejected         int  // clients rejected since the last sweep
	sharedAnswers    limiter
	protocolErrors   limiter
	batching         *session // the session whose commands are being processed
	batch            []byte   // messages to that session, which are written together
	scratch          []byte   // reused to build messages
	enforcingMemory  bool     // the loop calls enforceMemoryLimit
}

// NewPostgres returns a front end that passes requests to handler. The guard checks that no connection is closed with requests
// unanswered.
func NewPostgres(l *loop.Loop, log *slog.Logger, handler RequestHandler, guard *invariant.Guard, budget Budget) *Postgres {
	return &Postgres{loop: l, log: log, handler: handler, guard: guard, budget: budget,
		sharedAnswers:  newLimiter(l, sharedAnswersPerSecond, sharedAnswersBurst),
		protocolErrors: newLimiter(l, protocolErrorsPerSecond, protocolErrorsBurst)}
}

// NewHandler returns the handler of a new connection.
func (p *Postgres) NewHandler() loop.Handler {
	s := &session{front: p, reader: pgwire.NewReader(maxMessageBytes), stateSince: p.loop.Now(),
		answers: newLimiter(p.loop, answersPerSecond, answersBurst)}
	s.ref = p.sessions.Put(s)
	return s
}

// SessionCount returns the number of connected clients.
func (p *Postgres) SessionCount() int { return p.sessions.Len() }

// HasPendingWork reports whether a client waits for an answer, has not read all of an answer, or has sent input that has not
// been read or processed yet and may be a request.
func (p *Postgres) HasPendingWork() bool {
	pending := false
	p.sessions.Each(func(_ slots.Ref, s *session) {
		unprocessed := s.turnDeferred || s.wait == throttled && !s.reader.AtBoundary()
		pending = pending || len(s.commands) > 0 || unprocessed || s.conn != nil &&
			(s.conn.UnsentBytes() > 0 || !s.ended && !s.conn.NoPendingInput())
	})
	return pending
}

// PendingRequests returns the number of requests that have no answer yet.
func (p *Postgres) PendingRequests() int {
	n := 0
	p.sessions.Each(func(_ slots.Ref, s *session) { n += s.openRequests() })
	return n
}

// CloseAll closes all connections and accepts no more requests: a request that is read while the process ends would be
// forwarded, but its answer could not be delivered.
func (p *Postgres) CloseAll() {
	p.shuttingDown = true
	p.sessions.Each(func(_ slots.Ref, s *session) {
		if s.conn != nil {
			s.close(closeShutdown)
		}
	})
}

// Drain closes clients' connections from now on as they become idle.
func (p *Postgres) Drain() {
	p.draining = true
	p.sessions.Each(func(_ slots.Ref, s *session) {
		if s.started && s.idle() && s.conn.NoPendingInput() { // a client that is still starting up is about to send a request
			s.close(closeDrain)
		}
	})
}

// session is a client's connection. It implements loop.Handler.
type session struct {
	front            *Postgres
	ref              slots.Ref
	conn             *loop.Conn
	reader           pgwire.Reader
	arrivals         arrivals // arrival times of the bytes in reader
	commands         []*command
	started          bool
	hasRequested     bool // at least one request was accepted
	skipUntilSync    bool // after an error in the extended protocol, messages are skipped up to Sync
	ended            bool // no more commands are accepted
	halfClosed       bool // the final message is sent and the sending direction is closed
	closed           bool
	processTimer     *deadline.Timer // calls processCommands
	probeTimer       *deadline.Timer // calls probe
	readStopped      bool            // nothing is read from the client
	wait             wait            // why received commands are not processed yet
	turnDeferred     bool            // the loop calls processCommands after the events that it is handling
	answers          limiter         // the session's own share of commands that are answered without a server
	encryptionAsked  int             // number of encryption requests
	stateSince       float64         // when the client connected, started up, was answered, began a message or was half-closed
	sendStalledSince float64         // since when there have been unsent bytes at each sweep, 0 if there are none
	heldBytes        int             // the session's part of Postgres.heldBytes
	openRequestBytes int             // the session's part of Postgres.openRequestBytes
	unreadBytes      int             // bytes of answers that the client has not read, as of the last updateHeldBytes
	discardedBytes   int             // bytes received after ended was set
	state            clientState     // as of the last updateState
	listElement      *list.Element   // in Postgres.sessionsByState
}

// openRequests returns the number of the session's requests that have no answer yet.
func (s *session) openRequests() int {
	n := 0
	for _, c := range s.commands {
		if c.open {
			n++
		}
	}
	return n
}

// close closes the connection; this side closes clients' connections only here. It does nothing while requests are unanswered,
// unless the client itself is the reason or the process ends.
func (s *session) close(reason loop.Reason) {
	clientAtFault := reason == closeSendStalled || reason == closeMemory || reason == closeProtocol
	if !s.front.guard.CheckClose(string(reason), s.openRequests(), clientAtFault) && reason != closeShutdown {
		return
	}
	s.conn.Close(reason)
}

// idle reports whether the session is open, with nothing to process, to answer or to send.
func (s *session) idle() bool {
	return !s.closed && !s.ended && s.conn != nil && len(s.commands) == 0 &&
		s.reader.AtBoundary() && s.conn.UnsentBytes() == 0
}

// Opened implements loop.Handler.
func (s *session) Opened(c *loop.Conn) {
	s.conn = c
	if s.front.shuttingDown {
		s.close(closeShutdown)
		return
	}
	if !s.front.admit(s) {
		// After manyClientsIdleMs, idle clients can be evicted.
		s.turnAway(min(manyClientsIdleMs, s.front.budget.MaxRetryAfterMs))
	}
	s.updateState()
}

// Data implements loop.Handler.
func (s *session) Data(b []byte) {
	if s.ended {
		if s.discardedBytes += len(b); s.discardedBytes > maxDiscardedBytes && s.halfClosed {
			s.close(closeProtocol)
		}
		return
	}
	now := s.front.loop.Now()
	arrivedAt := min(now, s.conn.EarliestArrival())
	if s.started && len(s.commands) == 0 && s.reader.AtBoundary() {
		s.stateSince = now
	}
	s.reader.Borrow(b)
	s.arrivals.add(len(b), arrivedAt)
	s.processCommands()
}

// processCommands processes the commands that have been received and writes the answers to those that need no server. A command
// does not wait for the answers to earlier commands, but its own answer does.
func (s *session) processCommands() {
	defer s.updateState()
	s.front.batching = s
	s.processReceived()
	s.flush()
	s.reader.Keep()
	if s.front.draining && s.started && s.idle() && s.conn.NoPendingInput() {
		s.close(closeDrain)
	}
}

// processReceived processes received commands until they have to wait or none is complete.
func (s *session) processReceived() {
	for !s.closed && !s.ended {
		if s.wait = s.currentWait(); s.wait == throttled && s.front.draining {
			s.endForShutdown()
			return
		} else if s.wait != noWait {
			s.scheduleRecheck()
			return
		}
		result, err := s.processCommand()
		switch {
		case err != nil:
			s.fatal(codeProtocol, err.Error())
			return
		case result == commandIncomplete:
			return
		case result == commandAnswered:
			s.countAnswer()
		}
	}
}

// scheduleRecheck has processCommands called again when the reason of the wait may have ended. If the queue is full, the next
// answer does that.
func (s *session) scheduleRecheck() {
	switch s.wait {
	case unreadFull:
		s.processAfter(unsentRecheckMs)
	case throttled:
		s.front.loop.Metrics().Add(metrics.ClientLimits, "throttled")
		s.processAfter(throttleRecheckMs)
	}
}

// processNextTurn has processCommands called once the events of all connections have been handled.
func (s *session) processNextTurn() {
	if s.turnDeferred {
		return
	}
	s.turnDeferred = true
	s.front.loop.Defer(func() {
		s.turnDeferred = false
		s.processCommands()
	})
}

// commandResult is the result of processing the next message.
type commandResult int

const (
	commandIncomplete commandResult = iota // the message has not been received completely
	commandForwarded                       // the command waits for a server
	commandAnswered                        // the command needs no server
)

// processCommand processes the next message.
func (s *session) processCommand() (commandResult, error) {
	if !s.started {
		return s.processStartup()
	}
	// The type is checked as soon as its byte is there: input that is no message may never become complete.
	if typ, ok := s.reader.NextType(); ok && !strings.ContainsRune("QXSPBDECHF", rune(typ)) {
		return commandIncomplete, fmt.Errorf("%w: type %q", pgwire.ErrMalformed, typ)
	}
	message, ok, err := s.reader.Next()
	if err != nil {
		return commandIncomplete, err
	}
	if !ok {
		s.reserveMemory()
		return commandIncomplete, nil
	}
	arrivedAt := s.arrivals.consume(message.Size)
	switch message.Type {
	case 'Q':
		if message.Skipped {
			s.enqueue(0).refuseForMemory()
			return commandAnswered, nil
		}
		sql, err := pgwire.ParseText(message.Body)
		if err != nil {
			return commandIncomplete, err
		}
		return s.processQuery(sql, arrivedAt), nil
	case 'X':
		s.stopAccepting().respond(nil)
	case 'S': // Sync
		s.skipUntilSync = false
		s.respond(pgwire.AppendReady(s.front.scratch[:0]))
	default: // the extended protocol
		if s.skipUntilSync {
			break
		}
		s.skipUntilSync = message.Type != 'F'
		response := pgwire.AppendError(s.front.scratch[:0], "ERROR", codeUnsupported, "only simple queries are taken", "")
		if message.Type == 'F' {
			response = pgwire.AppendReady(response)
		}
		s.respond(response)
	}
	return commandAnswered, nil
}

// errEncryptionRefused reports that a client asks for encryption although it has been told that there is none.
var errEncryptionRefused = errors.New("encryption is not supported")

// processStartup processes a startup message, an encryption request or a cancel request.
func (s *session) processStartup() (commandResult, error) {
	kind, size, ok, err := s.reader.Startup()
	if err != nil || !ok {
		return commandIncomplete, err
	}
	s.arrivals.consume(size)
	switch kind {
	case pgwire.StartupEncrypt:
		if s.encryptionAsked++; s.encryptionAsked > maxEncryptionRequests {
			return commandIncomplete, errEncryptionRefused
		}
		s.send([]byte{'N'})
	case pgwire.StartupCancel:
		s.close(closeCancel)
	default:
		s.started, s.stateSince = true, s.front.loop.Now()
		s.send(pgwire.AppendStartupReply(s.front.scratch[:0]))
	}
	return commandAnswered, nil
}

// processQuery processes one statement, whose last byte arrived at the given time.
func (s *session) processQuery(sql string, arrivedAt float64) commandResult {
	switch keyword := pgwire.Keyword(strings.TrimRight(sql, "; \t\r\n")); keyword {
	case "":
		s.respond(pgwire.AppendReady(pgwire.AppendEmpty(s.front.scratch[:0])))
		return commandAnswered
	case "SET", "RESET", "DISCARD": // these have no effect, as on the servers
		s.respond(pgwire.AppendReady(pgwire.AppendComplete(s.front.scratch[:0], keyword)))
		return commandAnswered
	}
	stmt, err := pgwire.ParseStatement(sql)
	if err != nil {
		s.respondError(codeSyntax, err)
		return commandAnswered
	}
	request := Request{ID: stmt.ID, Class: stmt.Class, IsWrite: stmt.IsWrite, Group: stmt.Group, Session: stmt.SessionKey,
		Deadline: arrivedAt + stmt.TimeoutMs, Retry: stmt.Retry, Query: &stmt}
	if stmt.AfterMs > 0 {
		request.MinPosition = clock.FromUnix(stmt.AfterMs)
	}
	cmd := s.enqueue(len(sql) + openCommandBytes)
	cmd.open, cmd.isWrite = true, stmt.IsWrite
	if s.updateHeldBytes(); s.front.openRequestsExceedMemory() {
		cmd.refuseForMemory()
		return commandAnswered
	}
	ref, err := s.front.handler.Submit(request, cmd)
	switch {
	case err != nil:
		cmd.open = false
		cmd.respond(s.errorResponse(codeSyntax, err))
	case s.closed: // during Submit, before abandonRequests could know ref
		s.front.handler.Abandon(ref, s.conn.CloseReason())
	case cmd.open:
		cmd.ref = ref
	}
	s.hasRequested = s.hasRequested || err == nil
	if cmd.responded {
		return commandAnswered
	}
	return commandForwarded
}

// Closed implements loop.Handler.
func (s *session) Closed(error) {
	if s.closed {
		return
	}
	s.closed = true
	s.front.sessions.Delete(s.ref)
	s.front.loop.StopTimer(s.processTimer)
	s.front.loop.StopTimer(s.probeTimer)
	s.updateState()
	s.abandonRequests()
}
