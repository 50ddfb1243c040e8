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

func TestDecide(t *testing.T) {
	tests := []struct {
		name        string
		expected    []time.Duration
		minAnswered int
		left        time.Duration
		want        Decision
	}{
		{"idle", ms(10, 20, 30), 3, 100 * time.Millisecond, Admit{}},
		{"one slow shard may be missing", ms(10, 20, 900), 2, 100 * time.Millisecond, Admit{}},
		{"burst: too many long queues", ms(10, 900, 900), 2, 100 * time.Millisecond, Reject{RetryAfter: 800 * time.Millisecond}},
		{"shards without upstreams", ms(10), 2, 100 * time.Millisecond, Reject{RetryAfter: minRetryAfter}},
		{"no services", nil, 1, time.Second, Reject{RetryAfter: minRetryAfter}},
		{"exactly at the target", ms(100), 1, 100 * time.Millisecond, Admit{}},
		{"1 ms after the target", ms(101), 1, 100 * time.Millisecond, Reject{RetryAfter: minRetryAfter}},
	}
	for _, tt := range tests {
		if got := Decide(tt.expected, tt.minAnswered, tt.left); got != tt.want {
			t.Errorf("%s: Decide() = %+v, want %+v", tt.name, got, tt.want)
		}
	}
}
