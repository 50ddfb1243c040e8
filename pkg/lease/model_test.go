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

// The model runs real Keepers and Tables against a store, an upstream and a
// network that deliver in any order, late, twice over or not at all. A node is
// paused by not being stepped; clocks differ by up to the margin.
const (
	modelNodes  = 3
	modelSlots  = 2
	modelMargin = 500 * time.Millisecond
	modelTTL    = 4 * time.Second
	modelSteps  = 900
)

var errStore = errors.New("store did not answer")

// rules switches off parts of the protocol, to show what each is for.
type rules struct {
	noFence bool // run new keys whatever the lease says
	noStamp bool // do not send the fence to the upstream
	noBirth bool // run keys made before the owner took over
}

// modelNode is one process.
type modelNode struct {
	name   string
	keeper *lease.Holder
	tables map[int]*dedup.Table
	skew   time.Duration
}

// modelObject is one object of the store.
type modelObject struct {
	version uint64
	value   any
}

// modelSend is a request on its way to the upstream.
type modelSend struct {
	of    *modelKey
	key   dedup.Key
	table *dedup.Table
	fence time.Time
	begun int
}

// modelKey is what callers and the upstream know of a key.
type modelKey struct {
	key   dedup.Key
	sends int
	runs  int
	// refusedAt is the step at which a caller was last told not_run.
	refusedAt int
}

type model struct {
	random  *rand.Rand
	nodes   []*modelNode
	objects map[string]modelObject
	version uint64
	pending []func()
	sends   []modelSend
	keys    []*modelKey
	step    int
	skew    time.Duration
	rules   rules
	serial  uint64
	gained  int
	handed  int
	ran     int
	failure string
}

func newModel(seed uint64, r rules) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 0)), objects: make(map[string]modelObject), rules: r}
	m.skew = m.clock()
	for i := range modelNodes {
		n := &modelNode{name: fmt.Sprintf("vm-%d", i), tables: make(map[int]*dedup.Table), skew: m.clock()}
		opts := []lease.Option{lease.WithTTL(modelTTL), lease.WithMargin(modelMargin), lease.WithSlots(modelSlots), lease.WithSkew(n.skew)}
		if r.noFence {
			opts = append(opts, lease.WithoutFence())
		}
		n.keeper = lease.New(n.name, opts...)
		m.nodes = append(m.nodes, n)
	}
	return m
}

// clock draws an error such that any two clocks differ by at most the margin.
func (m *model) clock() time.Duration {
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

// tick steps a node with a view of its own of who lives.
func (m *model) tick(n *modelNode) {
	live := []string{n.name}
	for _, other := range m.nodes {
		if other != n && m.chance(60) {
			live = append(live, other.name)
		}
	}
	m.feed(n, lease.Tick{Live: live})
}

// feed gives an event to a node and puts what follows on its way.
func (m *model) feed(n *modelNode, ev lease.Event) {
	for _, a := range n.keeper.Step(ev) {
		switch a := a.(type) {
		case lease.Acquired:
			m.gained++
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

// call puts a store call on its way. Its reply may be lost before or after the
// write takes effect, or the write may take effect long after the error.
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

// effect carries out a store call.
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

// handOver sends a table once none of its requests runs.
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

// deliver lets one thing arrive, whichever was sent first.
func (m *model) deliver() {
	if len(m.pending) == 0 {
		return
	}
	i := m.random.IntN(len(m.pending))
	f := m.pending[i]
	m.pending = append(m.pending[:i], m.pending[i+1:]...)
	f()
}

// submit sends a key, new or seen before, to a node.
func (m *model) submit(n *modelNode) {
	k := m.pickKey()
	first := k.sends == 0
	k.sends++
	begun := m.step
	m.pending = append(m.pending, func() { m.receive(n, k, first, begun) })
}

// receive lets a send reach a node, perhaps long after it was sent.
func (m *model) receive(n *modelNode, k *modelKey, first bool, begun int) {
	slot := k.key.Slot(modelSlots)
	since, owned := n.keeper.Since(slot)
	if !owned || n.tables[slot] == nil {
		return
	}
	fence, mayRun := n.keeper.Fence(slot)
	if m.rules.noStamp {
		fence = time.Time{}
	}
	if m.rules.noBirth {
		since = time.Time{}
	}
	switch d := n.tables[slot].Begin(k.key, since, mayRun, first).(type) {
	case dedup.Run:
		m.sends = append(m.sends, modelSend{of: k, key: k.key, table: n.tables[slot], fence: fence, begun: begun})
	case dedup.Refuse:
		if d.Status == dedup.NotRun && !(first && k.sends > 1) {
			m.toldNotRun(k)
		}
	case dedup.Replay:
		if d.Outcome.Status == dedup.NotRun {
			m.toldNotRun(k)
		}
	case dedup.Wait:
	}
}

func (m *model) toldNotRun(k *modelKey) {
	k.refusedAt = m.step
	if k.runs > 0 {
		m.failure = fmt.Sprintf("step %d: key told not_run had run", m.step)
	}
}

func (m *model) pickKey() *modelKey {
	if len(m.keys) > 0 && m.chance(65) {
		return m.keys[len(m.keys)-1-m.random.IntN(min(len(m.keys), 6))]
	}
	m.serial++
	born := time.Now().Add(m.clock())
	k := &modelKey{key: dedup.NewKey(born, m.serial), refusedAt: -1}
	m.keys = append(m.keys, k)
	return k
}

// arrive lets a request reach the upstream, which refuses it after its fence.
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
		m.toldNotRun(s.of)
		return
	}
	m.execute(s.of, s)
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
	if k.refusedAt > s.begun {
		m.failure = fmt.Sprintf("step %d: key told not_run at step %d runs from a send of step %d", m.step, k.refusedAt, s.begun)
	}
}

// explore runs the model with many seeds and returns the first failure.
func explore(t *testing.T, seeds int, r rules) (failure string, gained, handed, ran int) {
	t.Helper()
	for seed := range seeds {
		synctest.Test(t, func(*testing.T) {
			m := newModel(uint64(seed), r)
			if f := m.run(); f != "" && failure == "" {
				failure = fmt.Sprintf("seed %d, %s", seed, f)
			}
			gained, handed, ran = gained+m.gained, handed+m.handed, ran+m.ran
		})
		if failure != "" {
			return failure, gained, handed, ran
		}
	}
	return failure, gained, handed, ran
}

// modelSeeds is enough for every switched-off rule to be found out many times.
const modelSeeds = 4000

func TestModelRunsNoKeyTwice(t *testing.T) {
	failure, gained, handed, ran := explore(t, modelSeeds, rules{})
	if failure != "" {
		t.Errorf("explore() found %s, want nothing", failure)
	}
	if gained < modelSeeds || handed < modelSeeds/2 || ran < modelSeeds {
		t.Errorf("explore() gained %d slots, took over %d and ran %d requests; the search reaches too little", gained, handed, ran)
	}
}

func TestModelFindsDoubleRunWithoutRule(t *testing.T) {
	for name, r := range map[string]rules{
		"fence": {noFence: true, noStamp: true},
		"birth": {noBirth: true},
	} {
		if failure, _, _, _ := explore(t, modelSeeds, r); failure == "" {
			t.Errorf("explore() without the rule %q found nothing, want a double run", name)
		}
	}
}

// The stamp is a second line of defence: the owner's own check and the birth
// rule are enough while clocks keep within the margin.
func TestModelHoldsWithoutStamp(t *testing.T) {
	if failure, _, _, _ := explore(t, modelSeeds, rules{noStamp: true}); failure != "" {
		t.Errorf("explore() found %s, want nothing", failure)
	}
}
