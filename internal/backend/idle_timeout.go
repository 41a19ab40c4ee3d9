package backend

import "math"

// idleBucketsMs are the lower bounds, in milliseconds, of the idle time buckets in which requests and losses are counted.
var idleBucketsMs = [...]float64{0, 10, 25, 50, 100, 200, 400, 800, 1600}

const (
	// lossDecayMs is the time constant, in milliseconds, with which older counts decay.
	lossDecayMs = 20000
	// minLosses is how many requests must have been lost before connections are considered expired. Fewer prove nothing.
	minLosses = 3
	// toleratedLossShare is the share of lost requests up to which connections of an idle time may still be used.
	toleratedLossShare = 0.05
	// baselineLossFactor is how many times the loss share of the first bucket is tolerated on top of toleratedLossShare.
	// Connections that were hardly idle break for other reasons than their idle time.
	baselineLossFactor = 2
)

// idleTimeoutEstimate estimates how long a connection may be idle before the next request on it is lost. The idle time-out
// of the servers is configured, but a NAT or firewall on the path may drop an idle connection earlier without closing it.
type idleTimeoutEstimate struct {
	requests, losses [len(idleBucketsMs)]float64
	updatedAt        float64
	limitMs          float64 // connections that were idle for this long have probably expired; +Inf without enough losses
}

func newIdleTimeoutEstimate() idleTimeoutEstimate { return idleTimeoutEstimate{limitMs: math.Inf(1)} }

// record counts a request that was sent on a connection after idleMs of idle time, and updates the estimate. The estimate is
// the lower bound of the lowest bucket that has too high a share of lost requests, alone and together with all higher
// buckets.
func (e *idleTimeoutEstimate) record(now, idleMs float64, lost bool) {
	decay := math.Exp(min(0, e.updatedAt-now) / lossDecayMs)
	e.updatedAt = now
	for i := range idleBucketsMs {
		e.requests[i] *= decay
		e.losses[i] *= decay
	}
	i := len(idleBucketsMs) - 1
	for idleMs < idleBucketsMs[i] && i > 0 {
		i--
	}
	e.requests[i]++
	if lost {
		e.losses[i]++
	}
	e.limitMs = math.Inf(1)
	maxLossShare := toleratedLossShare + baselineLossFactor*e.losses[0]/max(1, e.requests[0])
	var requests, losses float64
	for i := len(idleBucketsMs) - 1; i > 0; i-- {
		requests, losses = requests+e.requests[i], losses+e.losses[i]
		if e.losses[i] > maxLossShare*e.requests[i] && losses > maxLossShare*requests && losses >= minLosses {
			e.limitMs = idleBucketsMs[i]
		}
	}
}
