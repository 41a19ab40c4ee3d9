package stand

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"time"
)

// Client is one connection of a client.
type Client struct {
	Conn net.Conn
	r    *bufio.Reader
}

// Connect opens a connection, starts the session and waits until an empty query is answered.
func Connect(addr string, timeout time.Duration) (*Client, error) {
	end := time.Now().Add(timeout)
	for {
		c, err := connect(addr, end)
		if err == nil || time.Now().After(end) {
			return c, err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func connect(addr string, end time.Time) (*Client, error) {
	conn, err := net.DialTimeout("tcp4", addr, time.Until(end))
	if err != nil {
		return nil, err
	}
	c := &Client{Conn: conn, r: bufio.NewReaderSize(conn, 1<<16)}
	_ = conn.SetDeadline(end)
	if _, err = conn.Write(AppendQuery(AppendStartup(nil), "")); err == nil {
		var answer Answer
		if answer = c.Read(); answer.Code == "" && answer.Err == nil { // the startup
			answer = c.Read() // the empty query
		}
		if err = answer.Err; err == nil && answer.Code != "" {
			err = errors.New("turned away with " + answer.Code)
		}
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return c, nil
}

// Answer is what came up to ReadyForQuery, or up to the end of the connection.
type Answer struct {
	Served bool
	Value  []byte
	Code   string // of an ErrorResponse
	Err    error  // the connection ended before the answer was whole
	Bytes  int
}

// String describes the answer in one word or two.
func (a Answer) String() string {
	switch {
	case a.Err != nil && a.Code != "":
		return fmt.Sprintf("error %s, then %v", a.Code, a.Err)
	case a.Err != nil:
		return fmt.Sprintf("NO ANSWER after %d bytes: %v", a.Bytes, a.Err)
	case a.Code != "":
		return "error " + a.Code
	case a.Served:
		return fmt.Sprintf("served %d bytes", len(a.Value))
	}
	return "ready"
}

// Lost reports whether there was neither a row nor an error.
func (a Answer) Lost() bool { return a.Err != nil && a.Code == "" }

// Read reads up to the next ReadyForQuery.
func (c *Client) Read() Answer {
	var a Answer
	row := false
	for {
		m, err := ReadMessage(c.r)
		if err != nil {
			a.Err = err
			return a
		}
		a.Bytes += len(m.Body) + 5
		switch m.Type {
		case 'D':
			if len(m.Body) >= 6 {
				a.Value, row = bytes.Clone(m.Body[6:]), true
			}
		case 'C':
			a.Served = row
		case 'E':
			a.Code = ErrorCode(m.Body)
		case 'Z':
			return a
		}
	}
}

// Do sends one statement and reads its answer.
func (c *Client) Do(sql string, wait time.Duration) Answer {
	if err := c.Send(sql); err != nil {
		return Answer{Err: err}
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(wait))
	return c.Read()
}

// Send writes one statement.
func (c *Client) Send(sql string) error {
	_, err := c.Conn.Write(AppendQuery(nil, sql))
	return err
}

// Close closes the connection.
func (c *Client) Close() { c.Conn.Close() }

// Select is a statement that reads.
func Select(key, id, class string, d time.Duration, cluster int) string {
	return fmt.Sprintf("SELECT content FROM kv WHERE name = '%s' /* id=%s,c=%s,d=%d,cluster=%d */", key, id, class,
		d.Milliseconds(), cluster)
}

// Insert is a statement that writes.
func Insert(key string, value []byte, id, class string, d time.Duration, cluster int) string {
	return fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('%s', '\\x%x') RETURNING content /* id=%s,c=%s,d=%d,cluster=%d */",
		key, value, id, class, d.Milliseconds(), cluster)
}
