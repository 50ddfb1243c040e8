package dedup_test

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"geraniumstep.org/geraniumstep/pkg/dedup"
)

var serial uint64

func newKey() dedup.Key {
	serial++
	return dedup.NewKey(time.Now(), serial)
}

func TestNewKeyIsUUIDv7(t *testing.T) {
	k := newKey()
	parsed, err := dedup.ParseKey(k.String())
	if err != nil || parsed.String() != k.String() || !parsed.Created().Equal(k.Created()) {
		t.Errorf("ParseKey(%v) = %v created %v, %v; want the same key created %v", k, parsed, parsed.Created(), err, k.Created())
	}
}

func TestParseKey(t *testing.T) {
	for text, ok := range map[string]bool{
		"":                               false,
		"order-17":                       false,
		uuid.NewString():                 false,
		uuid.Must(uuid.NewV7()).String(): true,
		"a.b." + uuid.NewString():        false,
		strings.Repeat("x", 500):         false,
		".zz." + uuid.Must(uuid.NewV7()).String(): false,
	} {
		_, err := dedup.ParseKey(text)
		if got := err == nil; got != ok {
			t.Errorf("ParseKey(%.40q) = %v, want accepted %v", text, err, ok)
		}
		if err != nil && !errors.Is(err, dedup.ErrInvalidKey) {
			t.Errorf("ParseKey(%.40q) = %v, want ErrInvalidKey", text, err)
		}
	}
	issued, err := dedup.Issue("entry-1", 12345)
	if err != nil {
		t.Fatalf("Issue() = %v", err)
	}
	again, err := dedup.ParseKey(issued.String())
	if err != nil {
		t.Fatalf("ParseKey(%v) = %v", issued, err)
	}
	if vm, started := again.Issuer(); vm != "entry-1" || started != 12345 {
		t.Errorf("Issuer() = %v, %v, want entry-1, 12345", vm, started)
	}
}

func FuzzParseKey(f *testing.F) {
	f.Add("01890a5d-ac96-774b-bcce-b302099a8057")
	f.Add("vm.zz.01890a5d-ac96-774b-bcce-b302099a8057")
	f.Add("..")
	f.Fuzz(func(t *testing.T, text string) {
		k, err := dedup.ParseKey(text)
		if err == nil && k.String() != text {
			t.Errorf("String() = %q, want %q", k, text)
		}
	})
}

// TestBegin checks the decision on a send whose key is not in the table.
func TestBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		long := time.Now().Add(-time.Hour)
		old := newKey()
		time.Sleep(6 * time.Minute)
		fresh := func() dedup.Key {
			k := newKey()
			time.Sleep(2 * time.Millisecond)
			return k
		}
		for _, c := range []struct {
			name          string
			key           dedup.Key
			since         time.Time
			mayRun, first bool
			want          string
		}{
			{"new, table complete", fresh(), long, true, false, "run"},
			{"new, first send", fresh(), long, true, true, "run"},
			{"created before the owner took over", fresh(), time.Now(), true, false, "unknown"},
			{"the same, first send", fresh(), time.Now(), true, true, "not_run"},
			{"owner without lease", fresh(), long, false, false, "unknown"},
			{"the same, first send", fresh(), long, false, true, "not_run"},
			{"older than the window", old, long, true, false, "unknown"},
			{"the same, first send", old, long, true, true, "not_run"},
		} {
			table := dedup.NewTable()
			got := describe(table.Begin(c.key, c.since, c.mayRun, c.first))
			if got != c.want {
				t.Errorf("%s: Begin() = %v, want %v", c.name, got, c.want)
			}
		}
	})
}

func describe(d dedup.Decision) string {
	switch d := d.(type) {
	case dedup.Run:
		return "run"
	case dedup.Wait:
		return "wait"
	case dedup.Replay:
		return "replay " + d.Outcome.Status.String()
	case dedup.Refuse:
		return d.Status.String()
	}
	return "nothing"
}

func TestEveryOutcomeIsFinal(t *testing.T) {
	for _, status := range []dedup.Status{dedup.Ran, dedup.Unknown, dedup.NotRun} {
		synctest.Test(t, func(t *testing.T) {
			table, k := dedup.NewTable(), newKey()
			if got := describe(table.Begin(k, time.Time{}, true, true)); got != "run" {
				t.Fatalf("first Begin() = %v, want run", got)
			}
			d, ok := table.Begin(k, time.Time{}, true, false).(dedup.Wait)
			if !ok {
				t.Fatal("second Begin() does not wait for the first")
			}
			table.End(k, dedup.Outcome{Status: status, Answer: []byte("a")})
			<-d.Done
			want := "replay " + status.String()
			if got := describe(table.Begin(k, time.Time{}, true, true)); got != want {
				t.Errorf("Begin() after the end = %v, want %v", got, want)
			}
			other := dedup.NewTable()
			other.Import(table.Export())
			if got := describe(other.Begin(k, time.Time{}, true, false)); got != want {
				t.Errorf("Begin() at the new owner = %v, want %v", got, want)
			}
		})
	}
}

func TestRunningIsExportedAsUnknown(t *testing.T) {
	table, k := dedup.NewTable(), newKey()
	table.Begin(k, time.Time{}, true, true)
	if table.Idle() {
		t.Error("Idle() with a running request = true, want false")
	}
	other := dedup.NewTable()
	other.Import(table.Export())
	if got, want := describe(other.Begin(k, time.Time{}, true, false)), "replay unknown"; got != want {
		t.Errorf("Begin() = %v, want %v", got, want)
	}
}

func TestOldKeysArePurged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := dedup.NewTable(dedup.WithWindow(time.Second))
		for range 3000 {
			k := newKey()
			if _, ok := table.Begin(k, time.Time{}, true, true).(dedup.Run); ok {
				table.End(k, dedup.Outcome{Status: dedup.Ran})
			}
			time.Sleep(10 * time.Millisecond)
		}
		if got := table.Len(); got > 600 {
			t.Errorf("Len() = %d, want only the keys of the window", got)
		}
	})
}
