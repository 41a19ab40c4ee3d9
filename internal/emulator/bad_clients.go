package emulator

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"beechgrade/internal/pgwire"
)

// The kinds of fault that consist of bad clients. None of what they send may reach a server, and other clients of the same pooler
// need their answers in time meanwhile. Plan does not draw them.
const (
	// FaultFlood has some clients send commands that need no server at full speed.
	FaultFlood FaultKind = "flood"
	// FaultSlowWriters has many clients send large messages in small pieces.
	FaultSlowWriters FaultKind = "slow_writers"
)

const (
	floodClients  = 6
	slowWriters   = 50
	maxFloodTime  = 5 * time.Second
	slowWriteTime = 1200 * time.Millisecond
	// slowMessageBytes is the length of the messages of FaultSlowWriters, and slowPieces the number of their pieces.
	slowMessageBytes = 200 << 10
	slowPieces       = 40
)

// planBadClients draws n faults that consist of bad clients.
func planBadClients(rng *rand.Rand, length time.Duration, poolers, n int) []Fault {
	var plan []Fault
	for range n {
		kind := FaultFlood
		if rng.IntN(3) == 0 {
			kind = FaultSlowWriters
		}
		plan = append(plan, Fault{Kind: kind, At: warmUp + time.Duration(rng.Float64()*float64(length-warmUp)),
			Target: rng.IntN(poolers), Count: 1 + rng.IntN(len(floodCommands)),
			Duration: time.Duration((0.2 + 0.8*rng.Float64()) * float64(maxFloodTime))})
	}
	return plan
}

// mergePlans returns the faults of both plans in the order of their times.
func mergePlans(a, b []Fault) []Fault {
	plan := append(slices.Clone(a), b...)
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}

// floodCommands return what flooding clients send, with n different in each call.
var floodCommands = []func(n int) []byte{
	func(int) []byte { return bytes.Repeat([]byte{0, 0, 0, 8, 4, 210, 22, 47}, 100) }, // encryption requests
	func(int) []byte { return append(startupMessage(), emptyStatements...) },
	func(n int) []byte {
		return pgwire.AppendQuery(startupMessage(), fmt.Sprintf("SELECT %d /* no id and no time-out */", n))
	},
	func(n int) []byte {
		return pgwire.AppendQuery(startupMessage(), fmt.Sprintf("SELECT 1 /* id=flood%d,c=class%d,d=300,cluster=0 */", n, n))
	},
	func(int) []byte { return []byte("? this is no message") },
}

var emptyStatements = bytes.Repeat(pgwire.AppendQuery(nil, ""), 200)

// floodPooler has clients send commands of one kind to a pooler at full speed for the duration d.
func floodPooler(pooler *Process, commands func(n int) []byte, d time.Duration) {
	end := time.Now().Add(d)
	var clients sync.WaitGroup
	for i := range floodClients {
		clients.Go(func() {
			for n := i << 20; time.Now().Before(end); n++ {
				floodOnce(pooler, commands(n), end)
			}
		})
	}
	clients.Wait()
}

// floodOnce opens a connection and sends input, and then all of it but a startup message again and again, until the pooler closes
// the connection or the time is over.
func floodOnce(pooler *Process, input []byte, end time.Time) {
	conn, err := net.DialTimeout("tcp", pooler.listen, dialTimeout)
	if err != nil {
		time.Sleep(redialDelay)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(end)
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	if _, err := conn.Write(input); err != nil {
		return
	}
	repeated := bytes.TrimPrefix(input, startupMessage())
	for {
		if _, err := conn.Write(repeated); err != nil {
			return
		}
	}
}

// writeSlowly has many clients send one large message each to a pooler, in pieces. It is no request.
func writeSlowly(pooler *Process) {
	message := pgwire.AppendQuery(startupMessage(), "SELECT '"+strings.Repeat("x", slowMessageBytes)+"'")
	var clients sync.WaitGroup
	for range slowWriters {
		clients.Go(func() {
			conn, err := net.DialTimeout("tcp", pooler.listen, dialTimeout)
			if err != nil {
				return
			}
			defer conn.Close()
			go func() { _, _ = io.Copy(io.Discard, conn) }()
			for piece := range slices.Chunk(message, len(message)/slowPieces) {
				if _, err := conn.Write(piece); err != nil {
					return
				}
				time.Sleep(slowWriteTime / slowPieces)
			}
		})
	}
	clients.Wait()
}
