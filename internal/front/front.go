// Package front accepts requests from clients. Protocol details stay in this package. Request holds all that routing decisions
// need, so that a front end for another protocol is subject to the same decisions.
package front

import (
	"beechgrade/internal/backend"
	"beechgrade/internal/slots"
)

// Request is a client's request, independent of the protocol.
type Request struct {
	ID          string // unique among open requests
	Class       string
	Group       int
	Session     string  // key of the client's session, empty for none
	Deadline    float64 // on the loop's clock, in milliseconds: the time at which the client abandons the request
	MinPosition float64 // on the loop's clock, in milliseconds: the read needs data at least this recent; 0 for any
	Retry       bool    // whether the client has marked the request as sent before
	IsWrite     bool    // whether the statement changes data
	Query       backend.Query
}

// Client receives the one final answer to its request.
type Client interface {
	Served(answer []byte)    // valid during the call
	Refused(retryMs float64) // a retry is safe; the client should wait for retryMs, unless that is 0
	Failed()                 // the request may or may not have had an effect
	Connected() bool         // reports whether the client is still connected, as its socket tells at this moment
}

// RequestHandler accepts requests. Submit may answer the client before it returns; the returned Ref is
// then no longer valid.
type RequestHandler interface {
	Submit(req Request, client Client) (slots.Ref, error)
	Abandon(ref slots.Ref, reason string) // the client has disconnected, or this side has closed its connection
}
