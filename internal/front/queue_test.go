package front

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestArrivals guards against measuring a request's time-out from the time at which it is processed instead of its arrival. The
// request may have waited for earlier ones.
func TestArrivals(t *testing.T) {
	for name, c := range map[string]struct {
		added   [][2]int // number of bytes, arrival time
		consume []int
		want    []float64
	}{
		"one by one":                {[][2]int{{10, 1}, {10, 2}}, []int{10, 10}, []float64{1, 2}},
		"two at once":               {[][2]int{{20, 1}}, []int{10, 10}, []float64{1, 1}},
		"last byte arrives late":    {[][2]int{{15, 1}, {5, 2}, {4, 3}}, []int{10, 10, 4}, []float64{1, 2, 3}},
		"message in several pieces": {[][2]int{{3, 1}, {3, 2}, {4, 3}}, []int{10}, []float64{3}},
	} {
		var r arrivals
		for _, f := range c.added {
			r.add(f[0], float64(f[1]))
		}
		var got []float64
		for _, n := range c.consume {
			got = append(got, r.consume(n))
		}
		if diff := cmp.Diff(c.want, got); diff != "" || r.entries != nil {
			t.Errorf("%s: arrival times differ: %s; entries left: %v, want none", name, diff, r.entries)
		}
	}
}

// TestArrivalsAreBounded checks that a client which sends byte by byte does not take up more memory.
func TestArrivalsAreBounded(t *testing.T) {
	var r arrivals
	for i := range 1000 {
		r.add(1, float64(i))
	}
	if at := r.consume(1000); len(r.entries) != 0 || at != maxArrivals-1 {
		t.Errorf("%d entries left, want 0; the last byte arrived at %v, want maxArrivals-1", len(r.entries), at)
	}
}
