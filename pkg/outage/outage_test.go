package outage

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// at returns the time that is a number of milliseconds after the start of a test.
func at(ms int) time.Time { return time.UnixMilli(int64(1_000_000 + ms)) }

func span(first, last int) Span { return Between(at(first), at(last)) }

// A reader that has lost its connection to the registry is replaced by the next one. The pause must
// not count as an outage if it is shorter than one in which an entry expires.
func TestPauseOfATakeoverIsNoOutage(t *testing.T) {
	var r Record
	r.Add(At(at(0)))
	r.Add(At(at(1900)))
	if _, ok := r.LastEnd(); ok || r.Away(at(3899)) {
		t.Errorf("LastEnd() = outage, Away() = %v after pauses of less than %v, want none", r.Away(at(3899)), MinLength)
	}
}

func TestLongPauseIsAnOutage(t *testing.T) {
	var r Record
	r.Add(At(at(0)))
	if got, want := r.Away(at(2000)), true; got != want {
		t.Errorf("Away() after 2 s = %v, want %v", got, want)
	}
	r.Add(At(at(2500)))
	r.Add(At(at(3500)))
	if end, ok := r.LastEnd(); !ok || !end.Equal(at(2500)) {
		t.Errorf("LastEnd() = %v, %v, want the first reply after the pause", end, ok)
	}
	if r.Away(at(4000)) {
		t.Error("Away() 0.5 s after a reply = true, want false")
	}
}

// A pause in the replies to one failure domain is no outage if those to another one, which are known
// later, fill it.
func TestRepliesToOthersFillAPause(t *testing.T) {
	for name, c := range map[string]struct {
		replies []Span
		want    bool
	}{
		"one in the middle":            {[]Span{span(1500, 1500)}, false},
		"a span over the pause":        {[]Span{span(-5000, 3100)}, false},
		"two that fill it together":    {[]Span{span(2200, 2200), span(1000, 1000)}, false},
		"too old to fill it":           {[]Span{span(-900, 300)}, true},
		"too new to fill it":           {[]Span{span(2400, 3500)}, true},
		"older than the known replies": {[]Span{span(-9000, -8000)}, true},
		"none":                         {[]Span{{}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			var r Record
			r.Add(At(at(0)))
			r.Add(At(at(3000)))
			for _, s := range c.replies {
				r.Add(s)
			}
			if _, got := r.LastEnd(); got != c.want {
				t.Errorf("outage = %v, want %v", got, c.want)
			}
		})
	}
}

func TestFailedCallsShortenThePauseThatCounts(t *testing.T) {
	for name, c := range map[string]struct {
		since, now int
		want       bool
	}{
		"failed long enough":                  {100, 1600, true},
		"failed for a short time":             {100, 1500, false},
		"answered since the first failed one": {-900, 1600, false},
	} {
		t.Run(name, func(t *testing.T) {
			var r Record
			r.Add(At(at(0)))
			r.Fail(at(c.since), at(c.now))
			if got := r.Away(at(1700)); got != c.want {
				t.Errorf("Away() = %v, want %v", got, c.want)
			}
			r.Add(At(at(1700)))
			if _, got := r.LastEnd(); got != c.want {
				t.Errorf("outage = %v, want %v", got, c.want)
			}
			r.Add(At(at(900)))
			if _, ok := r.LastEnd(); ok {
				t.Error("outage after a reply within it is known = true, want false")
			}
		})
	}
}

func TestEmptyRecordIsNotAway(t *testing.T) {
	var r Record
	r.Fail(at(0), at(9000))
	if _, ok := r.LastEnd(); ok || r.Away(at(10_000)) {
		t.Error("a record without replies knows of an outage")
	}
}

// TestTwoNodesKnowOfTheSameOutage checks that two nodes that know of different replies agree, once
// they have exchanged their spans, with one to which all are known: replies fill each other's pauses.
func TestTwoNodesKnowOfTheSameOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replies := rapid.SliceOfN(rapid.IntRange(0, 8000), 1, 16).Draw(t, "replies")
		slices.Sort(replies)
		var all, a, b Record
		for _, ms := range replies {
			all.Add(At(at(ms)))
			if rapid.Bool().Draw(t, "to a") {
				a.Add(At(at(ms)))
			} else {
				b.Add(At(at(ms)))
			}
			spanOfA := a.Span()
			a.Add(b.Span())
			b.Add(spanOfA)
		}
		wantEnd, want := all.LastEnd()
		for name, r := range map[string]*Record{"a": &a, "b": &b} {
			end, got := r.LastEnd()
			if got && !want || want && got && !end.Equal(wantEnd) {
				t.Fatalf("node %s: LastEnd() = %v, %v, want %v, %v", name, end, got, wantEnd, want)
			}
		}
	})
}
