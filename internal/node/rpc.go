package node

import (
	"context"
	"net"
	"net/rpc"

	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/pkg/member"
)

// methods carries the methods that other nodes call.
type methods struct{ node *Node }

// Run sends a sub-request to an upstream that this node fronts.
func (m *methods) Run(sub *peer.ShardRequest, reply *peer.ShardReply) error {
	ctx, end := m.node.remote.begin(context.Background(), peer.Cancel{Request: sub.Request, Attempt: sub.Attempt})
	defer end()
	*reply = m.node.front.Do(ctx, sub)
	return nil
}

// Cancel ends a sub-request whose result is no longer wanted.
func (m *methods) Cancel(id *peer.Cancel, _ *peer.None) error {
	m.node.remote.cancel(*id)
	return nil
}

// Notice takes news of upstreams.
func (m *methods) Notice(notices *peer.Notices, _ *peer.None) error {
	m.node.front.Notice(*notices)
	m.node.holds.RecordSuccessors(notices.Successors)
	return nil
}

// Views exchanges whole views of the members.
func (m *methods) Views(args *peer.Views, reply *peer.Views) error {
	m.node.members.step(member.ViewReceived{Records: args.Records})
	m.node.front.Notice(args.Notices)
	m.node.holds.RecordSuccessors(args.Notices.Successors)
	reply.Records, _ = m.node.members.snapshot()
	reply.Notices = m.node.front.Notices()
	reply.Notices.Successors = m.node.holds.Successors()
	return nil
}

// Submit runs a non-idempotent request, if this node owns its key.
func (m *methods) Submit(args *peer.Submit, reply *peer.SubmitReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Budget)
	defer cancel()
	*reply = m.node.holds.Submit(ctx, args)
	return nil
}

// TakeOver takes a slot of the key space from its owner.
func (m *methods) TakeOver(args *peer.TakeOver, _ *peer.None) error {
	return m.node.holds.TakeOver(args)
}

// Inherit takes what became of the keys that a leaving node issued.
func (m *methods) Inherit(args *peer.Inherit, _ *peer.None) error {
	m.node.holds.Inherit(args)
	return nil
}

// Versions tells what this node has in force.
func (m *methods) Versions(_ *peer.None, reply *peer.VersionsReply) error {
	reply.Have = m.node.confs.Versions()
	return nil
}

// Pull answers with what the caller lacks.
func (m *methods) Pull(args *peer.Pull, reply *peer.PullReply) error {
	*reply = m.node.confs.Since(args.Have)
	return nil
}

// Notify hears that another node has something newer.
func (m *methods) Notify(args *peer.Notify, _ *peer.None) error {
	m.node.confs.PullIfNewer(member.PeerVersions{Addr: args.Addr, Versions: args.Have})
	return nil
}

// serveInner accepts connections of other nodes until the listener closes,
// then waits for those connections to end.
func (n *Node) serveInner(ctx context.Context) error {
	server := rpc.NewServer()
	if err := server.RegisterName(peer.Service, &methods{node: n}); err != nil {
		return err
	}
	conns := newConnSet()
	defer conns.closeAll()
	for {
		conn, err := n.inner.Accept()
		if err != nil {
			return nil
		}
		if !conns.add(conn) {
			continue
		}
		n.goServe(func() {
			defer conns.remove(conn)
			server.ServeCodec(peer.NewServerCodec(conn))
		})
		if ctx.Err() != nil {
			return nil
		}
	}
}

// dialInner opens a connection to another node.
func (n *Node) dialInner(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := n.network.Dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return n.secure.dialed(conn, addr)
}
