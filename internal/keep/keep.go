// Package keep saves quarantines of requests that crash upstreams in the platform's
// store, so that they outlive the processes of all nodes. The node that quarantines a
// request saves the evidence, and each node loads all of it when it starts.
//
//	k := keep.New(store, tracker)
//	go k.Run(ctx)
//	k.Save(fingerprint)
package keep

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"geraniumstep.org/geraniumstep/internal/tasks"
	"geraniumstep.org/geraniumstep/pkg/poison"
)

const (
	// loadDelay is the delay after the first failed attempt to load the records. It
	// doubles up to maxLoadDelay.
	loadDelay    = 500 * time.Millisecond
	maxLoadDelay = 8 * time.Second
	// saveInterval is how often the records of this node are compared with its
	// evidence.
	saveInterval = time.Second
	// renewInterval is the age at which the record of a quarantine that is still
	// being prolonged is saved again.
	renewInterval = 4 * time.Minute
	// maxRecordAge is the age at which a node that starts deletes a record. No
	// quarantine lasts that long.
	maxRecordAge = 25 * time.Hour
	// callTimeout bounds one call to the store.
	callTimeout = 2 * time.Second
	// maxSaved bounds the quarantines that a node keeps saved.
	maxSaved = 1000
)

// Record is the evidence about one request in the store.
type Record struct {
	Name    string
	SavedAt time.Time
	// Data holds the encoded reports. The store does not interpret it.
	Data []byte
}

// Store keeps records. Its calls return when the context is done.
type Store interface {
	// LoadRecords returns all records.
	LoadRecords(ctx context.Context) ([]Record, error)
	// SaveRecord creates a record or replaces the one of the same name.
	SaveRecord(ctx context.Context, r Record) error
	// DeleteRecord deletes a record if it exists.
	DeleteRecord(ctx context.Context, name string) error
}

// Keeper saves and loads the quarantines of one node. It is safe for concurrent use.
type Keeper struct {
	store   Store
	tracker *poison.Tracker
	log     *logrus.Entry

	mu sync.Mutex
	// savedAt holds when each quarantine of this node was saved; the zero time
	// stands for one that has not been.
	savedAt map[poison.Fingerprint]time.Time
}

// Option configures a Keeper at construction.
type Option func(*Keeper)

// WithLog sets the log. The default is logrus's standard logger.
func WithLog(log *logrus.Entry) Option { return func(k *Keeper) { k.log = log } }

// New returns a Keeper of the tracker's quarantines.
func New(s Store, t *poison.Tracker, opts ...Option) *Keeper {
	k := &Keeper{store: s, tracker: t, log: logrus.NewEntry(logrus.StandardLogger()), savedAt: make(map[poison.Fingerprint]time.Time)}
	for _, opt := range opts {
		opt(k)
	}
	return k
}

// Save saves the evidence about a request soon, and keeps it saved as long as the
// quarantine lasts.
func (k *Keeper) Save(f poison.Fingerprint) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, known := k.savedAt[f]; !known && len(k.savedAt) < maxSaved {
		k.savedAt[f] = time.Time{}
	}
}

// SaveAgain saves all quarantines of this node again soon, because the store may have lost
// their records.
func (k *Keeper) SaveAgain() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for f := range k.savedAt {
		k.savedAt[f] = time.Time{}
	}
}

// Run loads all records and then saves those of this node until the context is done.
func (k *Keeper) Run(ctx context.Context) error {
	delay := loadDelay
	for !k.load(ctx) {
		if !tasks.Sleep(ctx, delay) {
			return nil
		}
		delay = min(2*delay, maxLoadDelay)
	}
	for tasks.Sleep(ctx, saveInterval) {
		for _, f := range k.due(time.Now()) {
			k.update(ctx, f)
		}
	}
	return nil
}

// load merges all records into the tracker and deletes those that are too old. It
// reports false if the store does not answer.
func (k *Keeper) load(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	records, err := k.store.LoadRecords(ctx)
	if err != nil {
		k.log.WithField("error", err.Error()).Debug("keep: could not load the quarantines; trying again.")
		return false
	}
	for _, r := range records {
		age := max(time.Since(r.SavedAt), 0)
		if age > maxRecordAge {
			k.delete(ctx, r.Name)
			continue
		}
		var reports []poison.Report
		if err := msgpack.Unmarshal(r.Data, &reports); err != nil {
			k.log.WithFields(logrus.Fields{"record": r.Name, "error": err.Error()}).Warn("keep: skipping a quarantine that cannot be decoded.")
			continue
		}
		for i := range reports {
			reports[i].Age += age
		}
		k.tracker.Merge(reports)
	}
	k.log.WithField("records", len(records)).Info("keep: quarantines loaded.")
	return true
}

// due returns the quarantines that must be saved, renewed or deleted.
func (k *Keeper) due(now time.Time) []poison.Fingerprint {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []poison.Fingerprint
	for f, at := range k.savedAt {
		if now.Sub(at) >= renewInterval || k.tracker.Verdict(f) != poison.Quarantined {
			list = append(list, f)
		}
	}
	return list
}

// update saves the evidence about a quarantined request, or deletes its record if the
// quarantine has ended. A failed call is repeated by the next round.
func (k *Keeper) update(ctx context.Context, f poison.Fingerprint) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	name := strconv.FormatUint(uint64(f), 16)
	if k.tracker.Verdict(f) != poison.Quarantined {
		if k.delete(ctx, name) {
			k.mu.Lock()
			delete(k.savedAt, f)
			k.mu.Unlock()
		}
		return
	}
	now := time.Now()
	data, err := msgpack.Marshal(k.tracker.ReportsOf(f))
	if err == nil {
		err = k.store.SaveRecord(ctx, Record{Name: name, SavedAt: now, Data: data})
	}
	if err != nil {
		k.log.WithFields(logrus.Fields{"record": name, "error": err.Error()}).Debug("keep: could not save a quarantine; trying again.")
		return
	}
	k.mu.Lock()
	k.savedAt[f] = now
	k.mu.Unlock()
}

func (k *Keeper) delete(ctx context.Context, name string) bool {
	err := k.store.DeleteRecord(ctx, name)
	if err != nil {
		k.log.WithFields(logrus.Fields{"record": name, "error": err.Error()}).Debug("keep: could not delete a quarantine that has ended.")
	}
	return err == nil
}
