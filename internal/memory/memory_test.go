package memory

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// endless is a message without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

func TestReadAllReturnsWholeMessage(t *testing.T) {
	for _, size := range []int{0, 1, firstStepBytes - 1, firstStepBytes, firstStepBytes + 1, 1 << 20} {
		want := strings.Repeat("x", size)
		for name, r := range map[string]io.Reader{"plain": strings.NewReader(want), "with EOF": iotest.DataErrReader(strings.NewReader(want))} {
			got, err := New(4<<20).Open().ReadAll(r, 1<<20)
			if err != nil || string(got) != want {
				t.Errorf("%s: ReadAll() of %d bytes = %d bytes, %v", name, size, len(got), err)
			}
		}
	}
	if _, err := New(1<<20).Open().ReadAll(strings.NewReader("four"), 3); !errors.Is(err, ErrTooLarge) {
		t.Errorf("ReadAll() of 4 bytes with limit 3 = %v, want %v", err, ErrTooLarge)
	}
	if _, err := New(1<<20).Open().ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), 3); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("ReadAll() of a broken message = %v, want %v", err, io.ErrUnexpectedEOF)
	}
}

// Messages without end on many connections must not hold more than the pool, and must
// leave it empty when their requests have ended.
func TestEndlessMessagesShareThePool(t *testing.T) {
	const limit = 8 << 20
	p := New(limit)
	var open []*Account
	for range 10 {
		a := p.Open()
		open = append(open, a)
		if _, err := a.ReadAll(endless{}, 2<<20); err == nil {
			t.Fatal("ReadAll() of an endless message succeeded")
		}
		if got := p.Used(); got > limit {
			t.Fatalf("Used() = %d, want at most %d", got, limit)
		}
	}
	if _, err := p.Open().ReadAll(endless{}, 2<<20); !errors.Is(err, ErrExhausted) {
		t.Errorf("ReadAll() with a full pool = %v, want %v", err, ErrExhausted)
	}
	for _, a := range open {
		a.Close()
	}
	if got := p.Used(); got != 0 {
		t.Errorf("Used() after all requests ended = %d, want 0", got)
	}
}

// A reservation lasts until the last user has closed the account.
func TestReservationLastsUntilTheLastUser(t *testing.T) {
	p := New(10)
	a := p.Open()
	a.Retain()
	if !a.Reserve(6) || a.Reserve(5) {
		t.Error("Reserve() of 6 and 5 of 10 bytes: want true and false")
	}
	for _, want := range []int64{6, 0} {
		a.Close()
		if got := p.Used(); got != want {
			t.Errorf("Used() = %d, want %d", got, want)
		}
	}
}
