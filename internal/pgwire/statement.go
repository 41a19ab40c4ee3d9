package pgwire

import (
	"errors"
	"fmt"
	"iter"
	"strconv"
	"strings"
)

// ErrNoComment reports that a statement does not end in a comment with the parameters of its request.
var ErrNoComment = errors.New("statement has no request comment")

// ErrStatement reports that a statement is of a kind that is not forwarded to servers.
var ErrStatement = errors.New("only SELECT, INSERT, UPDATE and DELETE are taken")

const (
	// maxTimeoutMs is the longest time-out that a client may specify, in milliseconds: one day.
	maxTimeoutMs = 24 * 3600 * 1000
	// maxNameBytes is the maximum length of a request's id or class.
	maxNameBytes = 256
	// maxCommentBytes is the maximum length of a request's comment.
	maxCommentBytes = 4096
	// maxKeywordBytes is the number of bytes in which a statement's first word has to end.
	maxKeywordBytes = 16
)

// Statement is a client's statement with the parameters in its comment.
type Statement struct {
	ID         string  // key id
	Class      string  // key c
	TimeoutMs  float64 // key d: how long the client waits for the answer after it has sent the request
	Group      int     // key cluster
	AfterMs    int64   // key after: Unix time of the session's last commit in milliseconds, 0 for none
	Retry      bool    // key r
	SessionKey string  // the first quoted value, which identifies the session if the application has sessions
	IsWrite    bool    // the first word is INSERT, UPDATE or DELETE

	beforeTimeout, afterTimeout string // the statement before and after the value of key d
}

// ParseStatement parses a statement and the comment at its end. It ignores unknown keys in the comment.
func ParseStatement(sql string) (Statement, error) {
	body := strings.TrimRight(sql, "; \t\r\n")
	commentStart := lastComment(body)
	if commentStart < 0 || !strings.HasSuffix(body, "*/") || len(body) < commentStart+4 {
		return Statement{}, ErrNoComment
	}
	stmt := Statement{}
	switch Keyword(body) {
	case "SELECT":
	case "INSERT", "UPDATE", "DELETE":
		stmt.IsWrite = true
	default:
		return Statement{}, ErrStatement
	}
	seen := map[string]bool{}
	fields := body[commentStart+2 : len(body)-2]
	offset := commentStart + 2
	for field := range strings.SplitSeq(fields, ",") {
		name, val, ok := strings.Cut(field, "=")
		valOffset := offset + len(name) + 1
		offset += len(field) + 1
		if !ok {
			continue
		}
		untrimmed := val
		val = strings.TrimSpace(val)
		var err error
		name = strings.TrimSpace(name)
		switch name {
		case "id", "c", "d", "cluster", "after", "r":
			if seen[name] {
				return Statement{}, fmt.Errorf("comment: %s: said twice", name)
			}
			seen[name] = true
		}
		switch name {
		case "id":
			stmt.ID = val
		case "c":
			stmt.Class = val
		case "d":
			valOffset += strings.Index(untrimmed, val)
			stmt.beforeTimeout, stmt.afterTimeout = sql[:valOffset], sql[valOffset+len(val):]
			if stmt.TimeoutMs, err = strconv.ParseFloat(val, 64); err == nil &&
				!(stmt.TimeoutMs > 0 && stmt.TimeoutMs <= maxTimeoutMs) {
				err = strconv.ErrRange
			}
		case "cluster":
			stmt.Group, err = strconv.Atoi(val)
		case "after":
			if stmt.AfterMs, err = strconv.ParseInt(val, 10, 64); err == nil && stmt.AfterMs < 0 {
				err = strconv.ErrRange
			}
		case "r":
			stmt.Retry = val == "1"
		}
		if err != nil {
			return Statement{}, fmt.Errorf("comment: %s: %w", name, err)
		}
	}
	if stmt.ID == "" || stmt.Class == "" || stmt.beforeTimeout == "" || !seen["cluster"] {
		return Statement{}, fmt.Errorf("comment: id, c, d and cluster are needed: %w", ErrNoComment)
	}
	if len(stmt.ID) > maxNameBytes || len(stmt.Class) > maxNameBytes {
		return Statement{}, fmt.Errorf("comment: id or c of over %d bytes: %w", maxNameBytes, ErrNoComment)
	}
	if _, rest, ok := strings.Cut(body[:commentStart], "'"); ok {
		key, _, _ := strings.Cut(rest, "'")
		stmt.SessionKey = strings.Clone(key) // a copy: the key may be kept long after the statement, which may be large
	}
	return stmt, nil
}

// lastComment returns the offset of the last comment, or -1 if there is none of up to maxCommentBytes at the end.
func lastComment(sql string) int {
	searchFrom := max(0, len(sql)-maxCommentBytes)
	at := strings.LastIndex(sql[searchFrom:], "/*")
	if at < 0 {
		return -1
	}
	return searchFrom + at
}

// Keyword returns the first word of a statement in capitals, or what the first maxKeywordBytes hold of it.
func Keyword(sql string) string {
	trimmed := strings.TrimLeft(sql, " \t\r\n")
	keyword, _, _ := strings.Cut(trimmed[:min(len(trimmed), maxKeywordBytes)], " ")
	return strings.ToUpper(keyword)
}

// AppendQuery appends the statement as a query to a server. The value of key d becomes timeLimitMs, the time for which the
// pooler waits for the answer.
func (s *Statement) AppendQuery(dst []byte, timeLimitMs int) []byte {
	return AppendQuery(dst, s.beforeTimeout, strconv.Itoa(timeLimitMs), s.afterTimeout)
}

// Pairs yields the names and values of a list such as 'inflight=7,util=0.61'.
func Pairs(list string) iter.Seq2[string, string] {
	return func(yield func(string, string) bool) {
		for pair := range strings.SplitSeq(list, ",") {
			if name, val, ok := strings.Cut(pair, "="); ok && !yield(strings.TrimSpace(name), strings.TrimSpace(val)) {
				return
			}
		}
	}
}
