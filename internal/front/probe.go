package front

import "beechgrade/internal/pgwire"

// probeIntervalMs is the interval in milliseconds at which clients that are not read are probed. No attempt may begin 100 ms after
// its client has disconnected.
const probeIntervalMs = 40

// probeMessage repeats a parameter that the startup reply has reported, so that it has no effect. Clients accept such a message at
// any time.
var probeMessage = pgwire.AppendParameter(nil, "client_encoding", "UTF8")

// scheduleProbe has a client probed that is not read. If such a client closes its connection while the rest of its input still
// waits on its side, the end of the stream waits there as well. Its system answers any message with a reset, however.
func (s *session) scheduleProbe() {
	if s.probeTimer != nil || !s.started {
		return
	}
	l := s.front.loop
	s.probeTimer = l.At(l.Now()+probeIntervalMs, s.probe)
}

// probe sends a probe to a client that is not read, unless earlier messages are still unsent.
func (s *session) probe() {
	s.probeTimer = nil
	if s.closed || !s.readStopped {
		return
	}
	if s.conn.UnsentBytes() == 0 {
		_ = s.conn.Write(probeMessage) // a failed write closes the connection
	}
	if !s.closed {
		s.scheduleProbe()
	}
}
