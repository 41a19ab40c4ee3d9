package stand

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"time"
)

// Client is a client's connection to a pooler.
type Client struct {
	conn net.Conn
	r    *bufio.Reader
}

// Result is how a request ended for its client.
type Result struct {
	How   string // served, refused, failed, or none: no answer
	Value []byte
	Code  string
	Text  string
	At    time.Time
}

// Connect opens a connection, starts it up, and waits for the answer to an empty query.
func Connect(addr string, limit time.Duration) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, limit)
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, r: bufio.NewReaderSize(conn, 1<<16)}
	_ = conn.SetDeadline(time.Now().Add(limit))
	if _, err := conn.Write(append(Startup(), QueryMessage("")...)); err != nil {
		_ = conn.Close()
		return nil, err
	}
	for empty := false; ; {
		typ, body, err := ReadMessage(c.r)
		if err != nil || typ == 'E' {
			_ = conn.Close()
			return nil, fmt.Errorf("startup: %v %v", err, ErrorFields(body))
		}
		if empty = empty || typ == 'I'; typ == 'Z' && empty {
			_ = conn.SetDeadline(time.Time{})
			return c, nil
		}
	}
}

// Close closes the connection.
func (c *Client) Close() { _ = c.conn.Close() }

// Send sends a statement.
func (c *Client) Send(sql string) error {
	_, err := c.conn.Write(QueryMessage(sql))
	return err
}

// Await waits for an answer for as long as limit.
func (c *Client) Await(limit time.Duration) Result {
	_ = c.conn.SetReadDeadline(time.Now().Add(limit))
	res := Result{How: "none"}
	row := false
	for {
		typ, body, err := ReadMessage(c.r)
		if err != nil {
			var ne net.Error
			res.Text = "connection ended: " + err.Error()
			if errors.As(err, &ne) && ne.Timeout() {
				res.Text = "no answer in time"
			}
			res.How, res.At = "none", time.Now()
			return res
		}
		switch typ {
		case 'D':
			if len(body) >= 6 {
				row, res.Value = true, body[6:]
			}
		case 'E':
			f := ErrorFields(body)
			res.Code, res.Text = f['C'], f['M']
			res.How = "failed"
			if res.Code == "53300" || res.Code == "57P03" {
				res.How = "refused"
			}
		case 'Z':
			if res.Code == "" && row {
				res.How = "served"
			}
			res.At = time.Now()
			return res
		}
	}
}

// Select returns a read as the protocol page words it.
func Select(key, id, class string, limitMs, cluster int) string {
	return fmt.Sprintf("SELECT content FROM kv WHERE name = '%s' /* id=%s,c=%s,d=%d,cluster=%d */", key, id, class, limitMs, cluster)
}

// Insert returns a write as the protocol page words it.
func Insert(key, value, id, class string, limitMs, cluster int) string {
	return fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('%s', '\\x%s') RETURNING content /* id=%s,c=%s,d=%d,cluster=%d */",
		key, value, id, class, limitMs, cluster)
}
