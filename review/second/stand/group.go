package stand

import (
	"fmt"
	"time"
)

// lagMs is how far a replica's position is behind the present.
const lagMs = 10

// Group is a primary and its replicas, which answer after Work and never fail.
type Group struct {
	Work    time.Duration
	OnQuery func(q Query) // if set, is called for each statement when its last byte has come
	Servers []*Server     // the primary is the first
}

// StartGroup starts a group and enters it in the list.
func StartGroup(record *Record, discovery *Discovery, replicas int, work time.Duration, onQuery func(q Query)) (*Group, error) {
	g := &Group{Work: work, OnQuery: onQuery}
	for i := range replicas + 1 {
		role, x1, lag := "primary", 1, int64(0)
		if i > 0 {
			role, x1, lag = "replica", 0, lagMs
		}
		s := &Server{ID: fmt.Sprintf("s-%d", i+1), Record: record,
			Report: func(*Server) string { return fmt.Sprintf("x0=%.3f,x1=%d", float64(UnixMs()-lag)/1000, x1) },
			Answer: func(_ *Server, q Query) []byte {
				if g.OnQuery != nil {
					g.OnQuery(q)
				}
				if q.Write && role != "primary" {
					return Failure("25006", role, UnixMs()-lag)
				}
				time.Sleep(g.Work)
				return Row([]byte("value for "+q.ID), role, UnixMs()-lag)
			}}
		if err := s.Start(); err != nil {
			return nil, err
		}
		g.Servers = append(g.Servers, s)
		discovery.Set(Instance{ID: s.ID, HostPort: s.Addr, Zone: "hall-kita", MachineType: "std-11", Cell: 0, Lifecycle: "up",
			Weight: 1, Role: role})
	}
	return g, nil
}

// Ran returns how many db servers' statements belong to a request.
func (g *Group) Ran(id string) int {
	n := 0
	for _, s := range g.Servers {
		n += s.Ran(id)
	}
	return n
}
