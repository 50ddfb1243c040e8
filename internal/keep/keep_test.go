package keep

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"geraniumstep.org/geraniumstep/pkg/poison"
)

// fakeStore is a Store in memory that can be unavailable.
type fakeStore struct {
	mu      sync.Mutex
	records map[string]Record
	failing bool
	calls   int
}

func (s *fakeStore) begin() error {
	s.calls++
	if s.failing {
		return errors.New("unavailable")
	}
	return nil
}

func (s *fakeStore) LoadRecords(context.Context) ([]Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Record
	for _, r := range s.records {
		list = append(list, r)
	}
	return list, s.begin()
}

func (s *fakeStore) SaveRecord(_ context.Context, r Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.begin()
	if err == nil {
		s.records[r.Name] = r
	}
	return err
}

func (s *fakeStore) DeleteRecord(_ context.Context, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.begin()
	if err == nil {
		delete(s.records, name)
	}
	return err
}

func (s *fakeStore) setFailing(yes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = yes
}

func (s *fakeStore) count() (records, calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records), s.calls
}

// run runs a node's keeper until the returned function is called.
func run(t *testing.T, s *fakeStore, tr *poison.Tracker) (k *Keeper, stop func()) {
	k = New(s, tr)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = k.Run(ctx) })
	return k, func() {
		cancel()
		running.Wait()
	}
}

// quarantine makes the tracker quarantine the request.
func quarantine(tr *poison.Tracker, f poison.Fingerprint) {
	for i := range 2 {
		tr.RecordCrash(fmt.Sprintf("u%d/1", i), time.Now(), []poison.Run{{Fingerprint: f}})
	}
}

// A quarantine must survive the end of all nodes, also if the store is unavailable when
// the request is quarantined and when the nodes start.
func TestQuarantineSurvivesAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{records: make(map[string]Record)}
		first := poison.New()
		k, stop := run(t, s, first)
		time.Sleep(time.Second)
		s.setFailing(true)
		quarantine(first, 7)
		k.Save(7)
		time.Sleep(5 * time.Second)
		s.setFailing(false)
		time.Sleep(2 * time.Second)
		stop()
		s.setFailing(true)
		second := poison.New()
		_, stop = run(t, s, second)
		time.Sleep(5 * time.Second)
		s.setFailing(false)
		time.Sleep(maxLoadDelay)
		if got, want := second.Verdict(7), poison.Quarantined; got != want {
			t.Errorf("Verdict() after all nodes restarted = %v, want %v", got, want)
		}
		time.Sleep(11 * time.Minute)
		if got, want := second.Verdict(7), poison.Novel; got != want {
			t.Errorf("Verdict() after the quarantine = %v, want %v", got, want)
		}
		stop()
	})
}

// The record of a request that is still sent is renewed, and one whose quarantine has
// ended is deleted, with few calls.
func TestRecordFollowsTheQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{records: make(map[string]Record)}
		tr := poison.New()
		k, stop := run(t, s, tr)
		quarantine(tr, 7)
		k.Save(7)
		for range 30 {
			time.Sleep(time.Minute)
			tr.RecordRejection(7)
		}
		if records, calls := s.count(); records != 1 || calls > 10 {
			t.Errorf("records = %d after %d calls, want 1 after at most 10", records, calls)
		}
		other := poison.New()
		_, stopOther := run(t, s, other)
		time.Sleep(time.Second)
		if got, want := other.Verdict(7), poison.Quarantined; got != want {
			t.Errorf("Verdict() on a node that starts after half an hour = %v, want %v", got, want)
		}
		time.Sleep(12 * time.Minute)
		if records, _ := s.count(); records != 0 {
			t.Errorf("records after the quarantine = %d, want 0", records)
		}
		stop()
		stopOther()
	})
}

// Records that their node could not delete are deleted by a node that starts later.
func TestOldRecordsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{records: map[string]Record{"7": {Name: "7", SavedAt: time.Now()}, "8": {Name: "8", SavedAt: time.Now(), Data: []byte("x")}}}
		time.Sleep(maxRecordAge + time.Second)
		_, stop := run(t, s, poison.New())
		time.Sleep(time.Second)
		if records, _ := s.count(); records != 0 {
			t.Errorf("records = %d, want 0", records)
		}
		stop()
	})
}
