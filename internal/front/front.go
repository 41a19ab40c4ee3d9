// Package front takes requests from clients. What is protocol stays here; what a request needs in order
// to be decided on is in Request, so that another protocol's front goes through the same decisions.
package front

import (
	"beechgrade/internal/backend"
	"beechgrade/internal/slots"
)

// Request is what a client asks, in no protocol's form.
type Request struct {
	ID          string // no two open requests have the same
	Class       string
	Group       int
	Session     string
	Deadline    float64 // on the loop's clock, in milliseconds: the client gives up at this time
	MinPosition float64 // on the loop's clock: the read needs data at least this recent, 0 for no such need
	Retry       bool
	IsWrite     bool // its statement changes data
	Query       backend.Query
}

// Client is told the one final answer to its request.
type Client interface {
	Served(answer []byte)    // valid during the call
	Refused(retryMs float64) // trying again is harmless, after so long where that is not 0
	Failed()                 // nothing is promised
	Connected() bool         // reports whether the client is still connected, asking the system if the loop was held up
}

// RequestHandler accepts requests. Submit may answer before it returns; the Ref that it returns is then no longer valid.
type RequestHandler interface {
	Submit(q Request, c Client) (slots.Ref, error)
	Abandon(ref slots.Ref, why string) // the client has gone, or this side has closed its connection
}
