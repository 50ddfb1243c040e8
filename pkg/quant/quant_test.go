package quant_test

import (
	"testing"
	"testing/synctest"
	"time"

	"geraniumstep.org/geraniumstep/pkg/quant"
)

func TestQuantileTracksChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := quant.New(quant.WithWindow(time.Second), quant.WithInitial(70*time.Millisecond))
		if got, want := w.Cached(), 70*time.Millisecond; got != want {
			t.Errorf("Cached() without samples = %v, want %v", got, want)
		}
		feed := func(d time.Duration, n int) {
			for range n {
				w.Record(d)
				time.Sleep(time.Millisecond)
			}
		}
		feed(10*time.Millisecond, 1500)
		if got := w.Quantile(0.5); got < 9*time.Millisecond || got > 11*time.Millisecond {
			t.Errorf("Quantile(0.5) = %v, want about 10ms", got)
		}
		feed(40*time.Millisecond, 200)
		if got := w.Quantile(0.99); got < 36*time.Millisecond {
			t.Errorf("Quantile(0.99) soon after a slowdown = %v, want about 40ms", got)
		}
		feed(10*time.Millisecond, 2500)
		if got := w.Quantile(0.99); got > 12*time.Millisecond {
			t.Errorf("Quantile(0.99) long after the slowdown = %v, want about 10ms", got)
		}
	})
}

func TestCachedIsBoundedByMedian(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := quant.New()
		for i := range 1000 {
			d := 10 * time.Millisecond
			if i%10 == 0 {
				d = 500 * time.Millisecond
			}
			w.Record(d)
		}
		if got, most := w.Cached(), 45*time.Millisecond; got > most {
			t.Errorf("Cached() with 10%% slow samples = %v, want at most %v", got, most)
		}
	})
}
