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

// quietTime is how long no other node may have sent anything before a leaving
// node stops.
const quietTime = 300 * time.Millisecond

// idlePoll is how often a leaving node looks whether it is quiet.
const idlePoll = 5 * time.Millisecond

// errKilled ends the run group without a graceful shutdown.
var errKilled = errors.New("killed")

// Run serves until the context ends and then stops gracefully: not ready,
// ownership handed over, requests in flight finished. It returns nil after a
// graceful stop.
func (n *Node) Run(ctx context.Context) error {
	work := n.work
	defer n.tasks.Wait()
	defer n.peers.Close()
	defer n.stop()
	var group run.Group
	n.add(work, &group, func(ctx context.Context) error { return n.members.run(ctx) })
	group.Add(n.members.receive, func(error) { _ = n.packets.Close() })
	group.Add(func() error { return n.serveInner(work) }, func(error) { _ = n.inner.Close() })
	group.Add(n.front.Actor())
	n.add(work, &group, n.sendNotices)
	n.add(work, &group, n.followConfig)
	n.add(work, &group, n.members.followList)
	n.add(work, &group, n.holds.Run)
	group.Add(func() error { return n.serveCallers(work) }, func(error) { _ = n.server.Close() })
	group.Add(func() error { return n.conduct(ctx, work) }, func(error) { n.stop() })
	err := group.Run()
	if errors.Is(err, errKilled) || errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
		return nil
	}
	return err
}

// add puts a function that runs until its context ends into the group.
func (n *Node) add(parent context.Context, group *run.Group, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(parent)
	group.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// goServe runs f in a goroutine that Run waits for. Once the node has stopped
// it does nothing.
func (n *Node) goServe(f func()) { n.tasks.Go(f) }

// serveCallers serves until the node's work ends; a graceful shutdown of the
// server alone does not end the node.
func (n *Node) serveCallers(work context.Context) error {
	err := n.server.Serve(n.callers)
	if errors.Is(err, http.ErrServerClosed) {
		<-work.Done()
		return nil
	}
	return err
}

// followConfig loads the configuration and follows its changes.
func (n *Node) followConfig(ctx context.Context) error {
	if err := n.confs.Start(ctx); err != nil {
		return nil
	}
	close(n.loaded)
	return n.confs.Follow(ctx)
}

// conduct moves the node through its life: ready when it has a configuration,
// leaving when the context ends, stopped when nothing is left to do.
func (n *Node) conduct(ctx, work context.Context) error {
	n.join(work)
	select {
	case <-n.loaded:
	case <-ctx.Done():
		return nil
	case <-work.Done():
		return errKilled
	}
	n.fire(life.OrderReady)
	n.members.step(member.SetReady{Ready: true})
	select {
	case <-ctx.Done():
	case <-work.Done():
		return errKilled
	}
	n.leave()
	return nil
}

// join greets the peers that the settings name.
func (n *Node) join(ctx context.Context) {
	for _, addr := range n.set.Peers {
		n.goServe(func() {
			ctx, cancel := context.WithTimeout(ctx, viewsTimeout)
			defer cancel()
			_ = n.members.exchangeNow(ctx, addr)
		})
	}
}

// leave stops gracefully. While the balancer notices, requests are still
// taken, with the advice to open new connections elsewhere.
func (n *Node) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), n.set.Stop.Notice+n.set.Stop.Grace)
	defer cancel()
	begun := time.Now()
	n.fire(life.OrderLeave)
	n.server.SetKeepAlivesEnabled(false)
	n.members.step(member.SetReady{Ready: false})
	n.handOver(ctx)
	tasks.Sleep(ctx, time.Until(begun.Add(n.set.Stop.Notice)))
	if err := n.server.Shutdown(ctx); err != nil {
		n.log.Warnf("node: requests were still running after stop.grace %v: %v.", n.set.Stop.Grace, err)
	}
	n.members.step(member.Leave{})
	n.awaitQuiet(ctx)
	n.fire(life.OrderStop)
}

// handOver gives the slots and the issued keys to other nodes.
func (n *Node) handOver(ctx context.Context) {
	n.holds.Leave(ctx)
	var names []string
	v := n.view.Load()
	for _, r := range v.Live() {
		if r.Ready && r.VM != n.set.VM {
			names = append(names, r.VM)
		}
	}
	heir := route.Owner("heir/"+n.set.VM, names)
	if heir == "" {
		return
	}
	r, _ := v.Member(heir)
	if err := n.holds.HandOverOutcomes(ctx, heir, r.Addr); err != nil {
		n.log.Warnf("node: outcomes of issued keys were not handed over: %v.", err)
	}
}

// awaitQuiet waits until other nodes have sent nothing for a while.
func (n *Node) awaitQuiet(ctx context.Context) {
	quietSince := time.Now()
	for time.Since(quietSince) < quietTime {
		if !n.remote.empty() || n.front.InFlight() > 0 {
			quietSince = time.Now()
		}
		if !tasks.Sleep(ctx, idlePoll) {
			return
		}
	}
}

func (n *Node) fire(o life.Order) {
	if err := n.life.Fire(o); err != nil {
		n.log.Warnf("node: order %s was not carried out: %v.", o, err)
	}
}

// Kill ends the node at once, as a crash would: nothing is handed over and
// nobody is told.
func (n *Node) Kill() {
	n.closeListeners()
	n.stop()
	_ = n.server.Close()
	n.peers.Close()
}
