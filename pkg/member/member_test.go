package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"geraniumstep.org/geraniumstep/pkg/member"
)

// cluster runs trackers over a network that drops the messages for which cut
// returns true.
type cluster struct {
	trackers map[string]*member.Tracker
	order    []string
	queue    []datagram
	cut      func(from, to string) bool
	paused   map[string]bool
	bytes    int
	sent     int
	syncs    int
}

type datagram struct {
	from, to string
	msg      member.Message
}

const step = 50 * time.Millisecond

func newCluster(n, domains int) *cluster {
	c := &cluster{trackers: make(map[string]*member.Tracker), paused: make(map[string]bool), cut: func(string, string) bool { return false }}
	var records []member.Record
	for i := range n {
		vm := fmt.Sprintf("d%d-vm%03d", i%domains, i)
		r := member.Record{VM: vm, Domain: fmt.Sprintf("d%d", i%domains), Addr: vm, Gossip: vm, Started: 1}
		records = append(records, r)
		c.trackers[vm] = member.New(r, rand.New(rand.NewPCG(1, uint64(i))))
		c.order = append(c.order, vm)
	}
	for _, vm := range c.order {
		c.trackers[vm].Step(member.ViewReceived{Records: records})
		c.trackers[vm].Step(member.SetReady{Ready: true})
	}
	return c
}

// run steps the trackers and delivers their datagrams for the duration.
func (c *cluster) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		for _, vm := range c.order {
			if !c.paused[vm] {
				c.do(vm, c.trackers[vm].Step(member.Tick{}))
			}
		}
		for len(c.queue) > 0 {
			g := c.queue[0]
			c.queue = c.queue[1:]
			if !c.paused[g.to] && !c.cut(g.from, g.to) {
				c.do(g.to, c.trackers[g.to].Step(member.Received{Message: g.msg}))
			}
		}
	}
}

func (c *cluster) do(vm string, actions []member.Action) {
	for _, a := range append([]member.Action(nil), actions...) {
		switch a := a.(type) {
		case member.Send:
			data, err := msgpack.Marshal(a.Message)
			if err != nil {
				panic(err)
			}
			c.bytes += len(data)
			c.sent++
			c.queue = append(c.queue, datagram{vm, a.Addr, a.Message})
		case member.Sync:
			c.exchange(vm, a.Addr)
		}
	}
}

func (c *cluster) exchange(a, b string) {
	if c.paused[b] || c.cut(a, b) {
		return
	}
	c.syncs++
	local := c.trackers[a].Records()
	c.trackers[b].Step(member.ViewReceived{Records: local})
	c.trackers[a].Step(member.ViewReceived{Records: c.trackers[b].Records()})
}

// status returns the status of a member in the view of another.
func (c *cluster) status(of, at string) member.Status {
	for _, r := range c.trackers[at].Records() {
		if r.VM == of {
			return r.Status
		}
	}
	return member.Left
}

// countViews returns the number of members in whose view a VM has the given status.
func (c *cluster) countViews(vm string, want member.Status) int {
	n := 0
	for _, at := range c.order {
		if at != vm && !c.paused[at] && c.status(vm, at) == want {
			n++
		}
	}
	return n
}

func TestDeathReachesAllMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(9, 3)
		c.run(3 * time.Second)
		victim := c.order[4]
		c.paused[victim] = true
		c.run(4 * time.Second)
		if got, want := c.countViews(victim, member.Dead), 8; got != want {
			t.Errorf("%d members list the victim as dead, want %d", got, want)
		}
	})
}

func TestPausedMemberRejoinsAndDeclaresNoneDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(9, 3)
		c.run(2 * time.Second)
		victim := c.order[0]
		c.paused[victim] = true
		c.run(30 * time.Second)
		c.paused[victim] = false
		dead := 0
		for range 60 {
			c.run(100 * time.Millisecond)
			for _, vm := range c.order[1:] {
				dead += c.countViews(vm, member.Dead)
			}
		}
		if dead > 0 {
			t.Errorf("running members were declared dead %d times after the pause of another, want none", dead)
		}
		if got, want := c.countViews(victim, member.Alive), 8; got != want {
			t.Errorf("%d members list the paused member as alive again, want %d", got, want)
		}
	})
}

func TestDepartedProcessNeverRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(9, 3)
		c.run(2 * time.Second)
		gone := c.order[0]
		stale := c.trackers[gone].Self()
		c.do(gone, c.trackers[gone].Step(member.Leave{}))
		c.run(2 * time.Second)
		if got, want := c.countViews(gone, member.Left), 8; got != want {
			t.Errorf("%d members list the departed member as left, want %d", got, want)
		}
		stale.Epoch += 5
		c.trackers[c.order[1]].Step(member.ViewReceived{Records: []member.Record{stale}})
		if got := c.status(gone, c.order[1]); got != member.Left {
			t.Errorf("the departed member is %v after a stale record, want left", got)
		}
		stale.Started++
		c.trackers[c.order[1]].Step(member.ViewReceived{Records: []member.Record{stale}})
		if got := c.status(gone, c.order[1]); got != member.Alive {
			t.Errorf("a new process on the VM is %v, want alive", got)
		}
	})
}

// TestSurvivorOfTwo checks that the survivor of a fleet of two, which receives no
// messages, declares the other dead only once it has reached the platform. That
// shows that the lack of messages is not a fault of the survivor's own network.
func TestSurvivorOfTwo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2, 1)
		c.run(time.Second)
		c.paused[c.order[0]] = true
		c.run(5 * time.Second)
		if got := c.countViews(c.order[0], member.Dead); got != 0 {
			t.Error("a member that receives no messages declared the other dead")
		}
		for range 10 {
			c.trackers[c.order[1]].Step(member.PlatformReachable{})
			c.run(500 * time.Millisecond)
		}
		if got := c.countViews(c.order[0], member.Dead); got != 1 {
			t.Error("a member that reaches the platform did not declare the other dead")
		}
	})
}

func TestCutDomainIsUnreachableNotDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(9, 3)
		c.run(2 * time.Second)
		c.cut = func(from, to string) bool { return (from[:2] == "d0") != (to[:2] == "d0") }
		c.run(10 * time.Second)
		for _, vm := range c.order {
			if got := c.countViews(vm, member.Dead); got != 0 {
				t.Errorf("%d members list %s as dead across a cut, want none", got, vm)
			}
		}
		if c.trackers["d1-vm001"].Reachable("d0") {
			t.Error("a domain that is cut off counts as reachable")
		}
		if !c.trackers["d0-vm000"].Reachable("d0") {
			t.Error("a member's own domain counts as unreachable")
		}
		c.cut = func(string, string) bool { return false }
		c.run(4 * time.Second)
		if !c.trackers["d1-vm001"].Reachable("d0") {
			t.Error("a healed domain still counts as unreachable")
		}
	})
}

func TestViewsConvergeAfterLongCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(12, 3)
		c.run(2 * time.Second)
		c.cut = func(from, to string) bool { return (from[:2] == "d0") != (to[:2] == "d0") }
		c.paused["d0-vm003"] = true
		c.paused["d1-vm004"] = true
		c.run(time.Minute)
		c.cut = func(string, string) bool { return false }
		before := c.syncs
		c.run(15 * time.Second)
		for _, vm := range []string{"d0-vm003", "d1-vm004"} {
			if got, want := c.countViews(vm, member.Dead), 10; got != want {
				t.Errorf("%d members list %s as dead, want %d", got, vm, want)
			}
		}
		if got := c.syncs - before; got > 12*4 {
			t.Errorf("%d full exchanges after the cut, want at most four per member", got)
		}
	})
}

// BenchmarkTraffic measures the traffic that one member sends per second, in fleets
// of increasing size.
func BenchmarkTraffic(b *testing.B) {
	for _, n := range []int{9, 100, 625} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for b.Loop() {
				c := newCluster(n, 1)
				c.run(time.Second)
				c.bytes, c.sent = 0, 0
				const seconds = 5
				c.run(seconds * time.Second)
				b.ReportMetric(float64(c.bytes)/seconds/float64(n), "bytes/s/member")
				b.ReportMetric(float64(c.sent)/seconds/float64(n), "messages/s/member")
			}
		})
	}
}
