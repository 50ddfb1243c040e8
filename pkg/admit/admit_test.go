package admit

import (
	"testing"
	"time"
)

func ms(list ...int) []time.Duration {
	var out []time.Duration
	for _, n := range list {
		out = append(out, time.Duration(n)*time.Millisecond)
	}
	return out
}

func TestJudge(t *testing.T) {
	tests := []struct {
		name     string
		expected []time.Duration
		least    int
		left     time.Duration
		want     Decision
	}{
		{"idle", ms(10, 20, 30), 3, 100 * time.Millisecond, Admit{}},
		{"one slow shard may be left out", ms(10, 20, 900), 2, 100 * time.Millisecond, Admit{}},
		{"burst: too many queues are long", ms(10, 900, 900), 2, 100 * time.Millisecond, Reject{RetryAfter: 800 * time.Millisecond}},
		{"shards without upstreams", ms(10), 2, 100 * time.Millisecond, Reject{RetryAfter: minRetry}},
		{"no service at all", nil, 1, time.Second, Reject{RetryAfter: minRetry}},
		{"just in time", ms(100), 1, 100 * time.Millisecond, Admit{}},
		{"a little late", ms(101), 1, 100 * time.Millisecond, Reject{RetryAfter: minRetry}},
	}
	for _, tt := range tests {
		if got := Decide(tt.expected, tt.least, tt.left); got != tt.want {
			t.Errorf("%s: Judge() = %+v, want %+v", tt.name, got, tt.want)
		}
	}
}
