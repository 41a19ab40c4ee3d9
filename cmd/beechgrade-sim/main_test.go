package main

import (
	"strings"
	"testing"
)

// provisionInput starts instance 1 with one server.
const provisionInput = "SYNC\twall_ns=1000000000\n" +
	"PROVISION\tfront=1\tprng=5\trequest_classes.count=1\trequest_classes.0.effect=retryable\t" +
	"request_classes.0.slo_ns=400000000\tfamily_info.class_read=eventual\tallowed.max_attempts=3\n" +
	"CENSUS\tslot=0\trecords=1\nENTRY\tshard=0\tavailability=SERVING\tstore=h:1\n" +
	"MEMBERS\tfront=1\thow=restored\tslot=0\n"

// requestInput is a request to instance 1.
const requestInput = "ASK\tfront=1\trequest_id=ab\tdue_ns=2000000000\tshard=0\tcls=0\n"

// TestRun checks that a request is sent by its instance, and not by an unknown or crashed one.
func TestRun(t *testing.T) {
	for name, c := range map[string]struct{ in, want, not string }{
		"sends": {provisionInput + requestInput + "COMMIT\n",
			"PASS_ON\tfront=1\trequest_id=ab\tstore=h:1\nWAKE_AT\tfront=1\tinstant_ns=1010000000\ttag=0\nREADY\n", ""},
		"unknown instance": {"SYNC\twall_ns=1\n" + requestInput + "COMMIT\n", "READY\n", "PASS_ON"},
		"killed":           {provisionInput + "CRASH_NOW\tfront=1\n" + requestInput + "COMMIT\n", "READY\n", "PASS_ON"},
		"killed and restarted": {provisionInput + "CRASH_NOW\tfront=1\n" + provisionInput[len("SYNC\twall_ns=1000000000\n"):] +
			requestInput + "COMMIT\n", "PASS_ON", ""},
	} {
		var out strings.Builder
		if err := run(strings.NewReader(c.in), &out); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if !strings.Contains(out.String(), c.want) || c.not != "" && strings.Contains(out.String(), c.not) {
			t.Errorf("%s: wrong output %q", name, out.String())
		}
	}
}

func TestMalformedInputErrorNamesItsLine(t *testing.T) {
	var out strings.Builder
	if err := run(strings.NewReader("SYNC\twall_ns=1\nASK\tfront\n"), &out); err == nil ||
		!strings.Contains(err.Error(), "line 2") {
		t.Errorf("error %v, want one that gives line 2", err)
	}
}

func TestPanicIsReturnedAsText(t *testing.T) {
	if _, panicText := handle(nil, 0, nil, nil); !strings.Contains(panicText, "panic") {
		t.Errorf("panic text %q, want one that contains panic", panicText)
	}
}
