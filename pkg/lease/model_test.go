package lease_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"geraniumstep.org/geraniumstep/pkg/dedup"
	"geraniumstep.org/geraniumstep/pkg/lease"
)

// The model runs real Holders and Tables against a store, an upstream and a
// network that deliver in any order, late, repeatedly or not at all. A node is
// paused by not being stepped; clocks differ by up to the margin.
const (
	modelNodes  = 3
	modelSlots  = 2
	modelMargin = 500 * time.Millisecond
	modelTTL    = 4 * time.Second
	modelSteps  = 900
)

var errStore = errors.New("store did not answer")

// rules disables parts of the protocol, to show what each part prevents.
type rules struct {
	noFence         bool // run new keys regardless of the lease
	noUpstreamFence bool // do not send the fence to the upstream
	noAge           bool // run keys created before the owner acquired the slot
}

// modelNode is one process.
type modelNode struct {
	name   string
	holder *lease.Holder
	tables map[int]*dedup.Table
	skew   time.Duration
}

// modelObject is one object of the store.
type modelObject struct {
	version uint64
	value   any
}

// modelSend is a request in transit to the upstream.
type modelSend struct {
	tracked *modelKey
	key     dedup.Key
	table   *dedup.Table
	fence   time.Time
	sentAt  int
}

// modelKey records the sends and the runs of a key.
type modelKey struct {
	key   dedup.Key
	sends int
	runs  int
	// refusedAt is the step at which a caller last received not_run.
	refusedAt int
}

type model struct {
	random   *rand.Rand
	nodes    []*modelNode
	objects  map[string]modelObject
	version  uint64
	pending  []func()
	sends    []modelSend
	keys     []*modelKey
	step     int
	skew     time.Duration
	rules    rules
	serial   uint64
	acquired int
	handed   int
	ran      int
	failure  string
}

func newModel(seed uint64, r rules) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 0)), objects: make(map[string]modelObject), rules: r}
	m.skew = m.clockError()
	for i := range modelNodes {
		n := &modelNode{name: fmt.Sprintf("vm-%d", i), tables: make(map[int]*dedup.Table), skew: m.clockError()}
		opts := []lease.Option{lease.WithTTL(modelTTL), lease.WithMargin(modelMargin), lease.WithSlots(modelSlots), lease.WithSkew(n.skew)}
		if r.noFence {
			opts = append(opts, lease.WithoutFence())
		}
		n.holder = lease.New(n.name, opts...)
		m.nodes = append(m.nodes, n)
	}
	return m
}

// clockError draws an error such that any two clocks differ by at most the margin.
func (m *model) clockError() time.Duration {
	return time.Duration(m.random.Int64N(int64(modelMargin))) - modelMargin/2
}

func (m *model) chance(percent int) bool { return m.random.IntN(100) < percent }

func (m *model) run() string {
	for m.step = range modelSteps {
		switch p := m.random.IntN(100); {
		case p < 22:
			m.tick(m.nodes[m.random.IntN(modelNodes)])
		case p < 68:
			m.deliver()
		case p < 84:
			m.submit(m.nodes[m.random.IntN(modelNodes)])
		case p < 94:
			m.arrive()
		default:
			time.Sleep(time.Duration(m.random.Int64N(int64(modelTTL / 2))))
		}
		if m.failure != "" {
			return m.failure
		}
	}
	return ""
}

// tick steps a node with a random list of live nodes.
func (m *model) tick(n *modelNode) {
	live := []string{n.name}
	for _, other := range m.nodes {
		if other != n && m.chance(60) {
			live = append(live, other.name)
		}
	}
	m.feed(n, lease.Tick{Live: live})
}

// feed applies an event to a node and schedules the resulting actions.
func (m *model) feed(n *modelNode, ev lease.Event) {
	for _, a := range n.holder.Step(ev) {
		switch a := a.(type) {
		case lease.Acquired:
			m.acquired++
			if n.tables[a.Slot] == nil {
				n.tables[a.Slot] = m.table(n)
			}
		case lease.Dropped:
			delete(n.tables, a.Slot)
		case lease.HandOver:
			m.pending = append(m.pending, func() { m.handOver(n, a) })
		default:
			m.call(n, a)
		}
	}
}

func (m *model) table(n *modelNode) *dedup.Table {
	return dedup.NewTable(dedup.WithMargin(modelMargin), dedup.WithSkew(n.skew))
}

// call schedules a store call. The call may fail before or after the write takes
// effect, or the write may take effect long after the error.
func (m *model) call(n *modelNode, a lease.Action) {
	m.pending = append(m.pending, func() {
		switch p := m.random.IntN(100); {
		case p < 8:
			m.reply(n, failed(a))
		case p < 16:
			m.effect(a)
			m.reply(n, failed(a))
		case p < 22:
			m.pending = append(m.pending, func() { m.effect(a) })
			m.reply(n, failed(a))
		default:
			m.reply(n, m.effect(a))
		}
	})
}

func (m *model) reply(n *modelNode, ev lease.Event) {
	m.pending = append(m.pending, func() { m.feed(n, ev) })
}

func failed(a lease.Action) lease.Event {
	switch a := a.(type) {
	case lease.WriteLease:
		return lease.Written{Err: errStore}
	case lease.RevokeLease:
		return lease.Revoked{Owner: a.Owner, Err: errStore}
	case lease.WriteSlot:
		return lease.SlotWritten{Slot: a.Slot, Owner: a.Record.Owner, Err: errStore}
	case lease.ReadLease:
		return lease.Read{Owner: a.Owner, Err: errStore}
	case lease.ReadSlot:
		return lease.SlotRead{Slot: a.Slot, Err: errStore}
	}
	panic(fmt.Sprintf("no reply for %T", a))
}

func (m *model) effect(a lease.Action) lease.Event {
	switch a := a.(type) {
	case lease.WriteLease:
		v, err := m.put("lease/"+a.Record.Owner, a.Record, a.Version)
		return lease.Written{Expires: a.Record.Expires, Version: v, Err: err}
	case lease.RevokeLease:
		_, err := m.put("lease/"+a.Owner, lease.Record{Owner: a.Owner, Revoked: true}, a.Version)
		return lease.Revoked{Owner: a.Owner, Err: err}
	case lease.WriteSlot:
		v, err := m.put(fmt.Sprint("slot/", a.Slot), a.Record, a.Version)
		return lease.SlotWritten{Slot: a.Slot, Owner: a.Record.Owner, Since: a.Record.Since, Version: v, Err: err}
	case lease.ReadLease:
		o, ok := m.objects["lease/"+a.Owner]
		ev := lease.Read{Owner: a.Owner, Version: o.version, Found: ok}
		ev.Record, _ = o.value.(lease.Record)
		return ev
	case lease.ReadSlot:
		o, ok := m.objects[fmt.Sprint("slot/", a.Slot)]
		ev := lease.SlotRead{Slot: a.Slot, Version: o.version, Found: ok}
		ev.Record, _ = o.value.(lease.SlotRecord)
		return ev
	}
	panic(fmt.Sprintf("no effect for %T", a))
}

func (m *model) put(key string, value any, version uint64) (uint64, error) {
	if m.objects[key].version != version {
		return 0, errStore
	}
	m.version++
	m.objects[key] = modelObject{version: m.version, value: value}
	return m.version, nil
}

// handOver sends a table once none of its requests is running.
func (m *model) handOver(n *modelNode, a lease.HandOver) {
	table := n.tables[a.Slot]
	if table != nil && !table.Idle() {
		m.pending = append(m.pending, func() { m.handOver(n, a) })
		return
	}
	if table != nil && m.chance(80) {
		items := table.Export()
		m.pending = append(m.pending, func() { m.takeOver(a, items) })
	}
	var err error
	if m.chance(30) {
		err = errStore
	}
	m.reply(n, lease.HandedOver{Slot: a.Slot, Err: err})
}

func (m *model) takeOver(a lease.HandOver, items []dedup.Item) {
	for _, n := range m.nodes {
		if n.name != a.To {
			continue
		}
		if n.tables[a.Slot] == nil {
			n.tables[a.Slot] = m.table(n)
		}
		n.tables[a.Slot].Import(items)
		m.handed++
		m.feed(n, lease.Received{Slot: a.Slot, Since: a.Since, Version: a.Version})
	}
}

// deliver delivers one pending message, chosen at random.
func (m *model) deliver() {
	if len(m.pending) == 0 {
		return
	}
	i := m.random.IntN(len(m.pending))
	f := m.pending[i]
	m.pending = append(m.pending[:i], m.pending[i+1:]...)
	f()
}

// submit sends a new or an existing key to a node.
func (m *model) submit(n *modelNode) {
	k := m.pickKey()
	first := k.sends == 0
	k.sends++
	sentAt := m.step
	m.pending = append(m.pending, func() { m.receive(n, k, first, sentAt) })
}

// receive processes a send at a node, possibly long after it was sent.
func (m *model) receive(n *modelNode, k *modelKey, first bool, sentAt int) {
	slot := k.key.Slot(modelSlots)
	since, owned := n.holder.Since(slot)
	if !owned || n.tables[slot] == nil {
		return
	}
	fence, mayRun := n.holder.Fence(slot)
	if m.rules.noUpstreamFence {
		fence = time.Time{}
	}
	if m.rules.noAge {
		since = time.Time{}
	}
	switch d := n.tables[slot].Begin(k.key, since, mayRun, first).(type) {
	case dedup.Run:
		m.sends = append(m.sends, modelSend{tracked: k, key: k.key, table: n.tables[slot], fence: fence, sentAt: sentAt})
	case dedup.Refuse:
		if d.Status == dedup.NotRun && !(first && k.sends > 1) {
			m.reportNotRun(k)
		}
	case dedup.Replay:
		if d.Outcome.Status == dedup.NotRun {
			m.reportNotRun(k)
		}
	case dedup.Wait:
	}
}

func (m *model) reportNotRun(k *modelKey) {
	k.refusedAt = m.step
	if k.runs > 0 {
		m.failure = fmt.Sprintf("step %d: key reported as not_run had run", m.step)
	}
}

func (m *model) pickKey() *modelKey {
	if len(m.keys) > 0 && m.chance(65) {
		return m.keys[len(m.keys)-1-m.random.IntN(min(len(m.keys), 6))]
	}
	m.serial++
	created := time.Now().Add(m.clockError())
	k := &modelKey{key: dedup.NewKey(created, m.serial), refusedAt: -1}
	m.keys = append(m.keys, k)
	return k
}

// arrive delivers a request to the upstream, which rejects it after its fence.
func (m *model) arrive() {
	if len(m.sends) == 0 {
		return
	}
	i := m.random.IntN(len(m.sends))
	s := m.sends[i]
	m.sends = append(m.sends[:i], m.sends[i+1:]...)
	fenced := !s.fence.IsZero() && time.Now().Add(m.skew).After(s.fence)
	if fenced || m.chance(10) {
		s.table.End(s.key, dedup.Outcome{Status: dedup.NotRun})
		m.reportNotRun(s.tracked)
		return
	}
	m.execute(s.tracked, s)
	status := dedup.Ran
	if m.chance(20) {
		status = dedup.Unknown
	}
	s.table.End(s.key, dedup.Outcome{Status: status})
}

func (m *model) execute(k *modelKey, s modelSend) {
	k.runs++
	m.ran++
	if k.runs > 1 {
		m.failure = fmt.Sprintf("step %d: key ran %d times", m.step, k.runs)
	}
	if k.refusedAt > s.sentAt {
		m.failure = fmt.Sprintf("step %d: key reported as not_run at step %d runs from a send of step %d", m.step, k.refusedAt, s.sentAt)
	}
}

// explore runs the model with many seeds and returns the first failure.
func explore(t *testing.T, seeds int, r rules) (failure string, acquired, handed, ran int) {
	t.Helper()
	for seed := range seeds {
		synctest.Test(t, func(*testing.T) {
			m := newModel(uint64(seed), r)
			if f := m.run(); f != "" && failure == "" {
				failure = fmt.Sprintf("seed %d, %s", seed, f)
			}
			acquired, handed, ran = acquired+m.acquired, handed+m.handed, ran+m.ran
		})
		if failure != "" {
			return failure, acquired, handed, ran
		}
	}
	return failure, acquired, handed, ran
}

// modelSeeds is large enough that the failure from each disabled rule is found
// many times.
const modelSeeds = 4000

func TestModelRunsNoKeyTwice(t *testing.T) {
	failure, acquired, handed, ran := explore(t, modelSeeds, rules{})
	if failure != "" {
		t.Errorf("explore() found %s, want no failure", failure)
	}
	if acquired < modelSeeds || handed < modelSeeds/2 || ran < modelSeeds {
		t.Errorf("explore() acquired %d slots, took over %d and ran %d requests; the model covers too few states", acquired, handed, ran)
	}
}

func TestModelFindsDoubleRunWithoutRule(t *testing.T) {
	for name, r := range map[string]rules{
		"fence": {noFence: true, noUpstreamFence: true},
		"age":   {noAge: true},
	} {
		if failure, _, _, _ := explore(t, modelSeeds, r); failure == "" {
			t.Errorf("explore() without the rule %q found no failure, want a double run", name)
		}
	}
}

// The fence sent to the upstream is a second safeguard: the owner's own check and
// the rule about the age of keys are sufficient while clocks differ by at most the
// margin.
func TestModelHoldsWithoutUpstreamFence(t *testing.T) {
	if failure, _, _, _ := explore(t, modelSeeds, rules{noUpstreamFence: true}); failure != "" {
		t.Errorf("explore() found %s, want no failure", failure)
	}
}
