package pgwire

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestAnswer guards against forwarding, or using for estimates, bytes that only resemble an answer: noise, messages out of order,
// inconsistent lengths. An invalid message must be detected by its first bytes, as the rest may never arrive.
func TestAnswer(t *testing.T) {
	row, done := string(AppendRow(nil, "content", []byte("v"))), string(AppendComplete(nil, "SELECT 1"))
	desc, data := row[:len(row)-12], row[len(row)-12:]
	ready := string(AppendReady(nil))
	role := string(AppendParameter(nil, "role", "primary"))
	fail := string(AppendError(nil, "ERROR", "XX000", "no", ""))
	notice := "N" + fail[1:]
	for name, c := range map[string]struct {
		in, want string // want: served, error CODE, ready, waits (incomplete) or bad (malformed)
		startup  bool
		atOnce   bool // skip the run that feeds single bytes, which would take long
	}{
		"row":                 {in: notice + role + desc + role + data + notice + done + role + ready, want: "served"},
		"error":               {in: fail + role + ready, want: "error XX000"},
		"error after the row": {in: row + fail + ready, want: "error XX000"},
		"value of 400 KiB": {in: string(AppendRow(nil, "content", make([]byte, 400<<10))) + done + ready,
			want: "served", atOnce: true},
		"NULL value":       {in: desc + "D\x00\x00\x00\x0a\x00\x01\xff\xff\xff\xff" + done + ready, want: "served"},
		"no ReadyForQuery": {in: row + done, want: "waits"},
		"welcome":          {in: string(AppendStartupReply(nil)), want: "ready", startup: true},
		"welcome with key data": {in: "R\x00\x00\x00\x08\x00\x00\x00\x00K\x00\x00\x00\x0c12345678" + ready,
			want: "ready", startup: true},
		"password requested":         {in: "R\x00\x00\x00\x08\x00\x00\x00\x03", want: "bad", startup: true},
		"connection refused":         {in: fail, want: "waits", startup: true},
		"unknown type":               {in: "\xbf", want: "bad"},
		"completion without a row":   {in: desc + done + ready, want: "bad"},
		"two rows":                   {in: row + data, want: "bad"},
		"row without a description":  {in: data, want: "bad"},
		"completion alone":           {in: done, want: "bad"},
		"ReadyForQuery alone":        {in: ready, want: "bad"},
		"error after the completion": {in: row + done + fail, want: "bad"},
		"two columns":                {in: desc + strings.Replace(data, "\x00\x01\x00", "\x00\x02\x00", 1), want: "bad"},
		"unknown type for the row":   {in: desc + "q\x00\x00\x00\x0b", want: "bad"},
		"row of 3 GB":                {in: desc + "D\xc0\x00\x00\x0a", want: "bad"},
		"value of 3 GB":              {in: desc + "D\x00\x00\x00\x0b\x00\x01\xc0\x00\x00\x00", want: "bad"},
		"row shorter than value":     {in: desc + "D\x00\x00\x00\x0c\x00\x01\x00\x00\x00\x09", want: "bad"},
		"row too short":              {in: desc + "D\x00\x00\x00\x05\x00", want: "bad"},
		"NULL value with bytes":      {in: desc + "D\x00\x00\x00\x0b\x00\x01\xff\xff\xff\xff", want: "bad"},
		"negative length":            {in: "T\xff\xff\xff\xf0", want: "bad"},
		"description of no column":   {in: "T\x00\x00\x00\x06\x00\x00", want: "bad"},
		"unterminated text":          {in: row + "C\x00\x00\x00\x06SE", want: "bad"},
		"error without code":         {in: "E\x00\x00\x00\x09Mno\x00\x00", want: "bad"},
		"unterminated error":         {in: "E\x00\x00\x00\x0bCXX000\x00", want: "bad"},
		"status in a transaction":    {in: row + done + "Z\x00\x00\x00\x05T", want: "bad"},
		"too many notices": {in: strings.Repeat("N\x00\x00\x1f\x00M"+strings.Repeat("x", 0x1f00-6)+"\x00\x00", 17),
			want: "bad"},
		"parameter with a third string": {in: "S\x00\x00\x00\x09a\x00b\x00c", want: "bad"},
	} {
		t.Run(name, func(t *testing.T) {
			for _, piece := range []int{1, len(c.in)} {
				if c.atOnce {
					piece = len(c.in)
				}
				reader, answer, got := NewReader(MaxMessageBytes), NewQueryAnswer(), "waits"
				if c.startup {
					answer = NewStartupAnswer()
				}
				for in := c.in; in != "" && got == "waits"; in = in[piece:] {
					reader.Feed([]byte(in[:piece]))
					for !answer.Done() {
						_, ok, err := answer.Next(&reader)
						if errors.Is(err, ErrMalformed) {
							got = "bad"
						}
						if !ok {
							break
						}
					}
					switch {
					case answer.Done() && answer.Succeeded:
						got = "served"
					case answer.Done() && answer.ErrorCode != "":
						got = "error " + answer.ErrorCode
					case answer.Done():
						got = "ready"
					}
				}
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Errorf("in pieces of %d: %s", piece, diff)
				}
			}
		})
	}
}
