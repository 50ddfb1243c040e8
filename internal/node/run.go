package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"

	"geraniumstep.org/geraniumstep/internal/tasks"
	"geraniumstep.org/geraniumstep/pkg/life"
	"geraniumstep.org/geraniumstep/pkg/member"
	"geraniumstep.org/geraniumstep/pkg/route"
)

// quietPeriod is how long a leaving node must have had no shard request of another
// node running and none in flight at an upstream before it stops.
const quietPeriod = 300 * time.Millisecond

// idlePoll is the interval at which a leaving node checks for requests in flight.
const idlePoll = 5 * time.Millisecond

// errKilled ends the run group without a graceful shutdown.
var errKilled = errors.New("killed")

// Run serves until ctx ends and then stops gracefully: it becomes not ready, hands
// over its ownership of keys and finishes the requests in flight. It returns nil
// after a graceful stop.
func (n *Node) Run(ctx context.Context) error {
	work := n.work
	defer n.tasks.Wait()
	defer n.peers.Close()
	defer n.stop()
	var group run.Group
	n.addActor(work, &group, func(ctx context.Context) error { return n.members.run(ctx) })
	group.Add(n.members.receive, func(error) { _ = n.packets.Close() })
	group.Add(func() error { return n.serveInner(work) }, func(error) { _ = n.inner.Close() })
	group.Add(n.front.Actor())
	n.addActor(work, &group, n.sendNotices)
	n.addActor(work, &group, n.followConfig)
	n.addActor(work, &group, n.members.pollVMList)
	n.addActor(work, &group, n.submissions.Run)
	group.Add(func() error { return n.serveCallers(work) }, func(error) { _ = n.server.Close() })
	group.Add(func() error { return n.runLifecycle(ctx, work) }, func(error) { n.stop() })
	err := group.Run()
	if errors.Is(err, errKilled) || errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
		return nil
	}
	return err
}

// addActor adds a function that runs until its context ends to the group.
func (n *Node) addActor(parent context.Context, group *run.Group, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(parent)
	group.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// spawn runs f in a goroutine that Run waits for. Once the node has stopped, it
// does nothing.
func (n *Node) spawn(f func()) { n.tasks.Go(f) }

// serveCallers serves callers until work ends. It does not return when the HTTP
// server shuts down gracefully, because that would end the whole run group.
func (n *Node) serveCallers(work context.Context) error {
	err := n.server.Serve(n.callers)
	if errors.Is(err, http.ErrServerClosed) {
		<-work.Done()
		return nil
	}
	return err
}

// followConfig loads the configuration and then follows its changes.
func (n *Node) followConfig(ctx context.Context) error {
	if err := n.syncer.Start(ctx); err != nil {
		return nil
	}
	close(n.loaded)
	return n.syncer.Follow(ctx)
}

// runLifecycle drives the lifecycle of the node: ready once it has loaded a
// configuration, leaving when ctx ends, stopped once no work is left.
func (n *Node) runLifecycle(ctx, work context.Context) error {
	n.join(work)
	select {
	case <-n.loaded:
	case <-ctx.Done():
		return nil
	case <-work.Done():
		return errKilled
	}
	n.fireOrder(life.OrderReady)
	n.members.step(member.SetReady{Ready: true})
	select {
	case <-ctx.Done():
	case <-work.Done():
		return errKilled
	}
	n.leave()
	return nil
}

// join exchanges views with the peers listed in the settings.
func (n *Node) join(ctx context.Context) {
	for _, addr := range n.settings.Peers {
		n.spawn(func() {
			ctx, cancel := context.WithTimeout(ctx, viewsTimeout)
			defer cancel()
			_ = n.members.exchangeViews(ctx, addr)
		})
	}
}

// leave stops gracefully. Requests are accepted for at least stop.notice, so that the
// load balancer can detect that the node is not ready. Keep-alives are disabled, so
// that clients open new connections elsewhere.
func (n *Node) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Stop.Notice+n.settings.Stop.Grace)
	defer cancel()
	start := time.Now()
	n.beginStop(start.Add(n.settings.Stop.Notice + n.settings.Stop.Grace))
	n.fireOrder(life.OrderLeave)
	n.server.SetKeepAlivesEnabled(false)
	n.members.step(member.SetReady{Ready: false})
	n.handOver(ctx)
	tasks.Sleep(ctx, time.Until(start.Add(n.settings.Stop.Notice)))
	if err := n.server.Shutdown(ctx); err != nil {
		n.log.Warnf("node: requests were still running after stop.grace %v: %v.", n.settings.Stop.Grace, err)
	}
	n.members.step(member.Leave{})
	n.waitQuiet(ctx)
	n.fireOrder(life.OrderStop)
}

// handOver transfers the owned slots and the outcomes of the issued keys to other
// nodes.
func (n *Node) handOver(ctx context.Context) {
	n.submissions.Leave(ctx)
	var names []string
	v := n.view.Load()
	for _, r := range v.Live() {
		if r.Ready && r.VM != n.settings.VM {
			names = append(names, r.VM)
		}
	}
	successor := route.Owner("heir/"+n.settings.VM, names)
	if successor == "" {
		return
	}
	r, _ := v.Member(successor)
	if err := n.submissions.HandOverOutcomes(ctx, successor, r.Addr); err != nil {
		n.log.Warnf("node: outcomes of issued keys were not handed over: %v.", err)
	}
}

// waitQuiet waits until the node has been quiet for quietPeriod, or ctx ends.
func (n *Node) waitQuiet(ctx context.Context) {
	quietSince := time.Now()
	for time.Since(quietSince) < quietPeriod {
		if !n.remote.empty() || n.front.InFlight() > 0 {
			quietSince = time.Now()
		}
		if !tasks.Sleep(ctx, idlePoll) {
			return
		}
	}
}

func (n *Node) fireOrder(o life.Order) {
	if err := n.life.Fire(o); err != nil {
		n.log.Warnf("node: lifecycle order %s failed: %v.", o, err)
	}
}

// Kill stops the node at once, as a crash would: it hands nothing over and
// notifies no other node.
func (n *Node) Kill() {
	n.closeListeners()
	n.stop()
	_ = n.server.Close()
	n.peers.Close()
}
