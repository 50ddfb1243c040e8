package node

import (
	"context"
	"net"
	"net/rpc"

	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/pkg/member"
)

// methods is the net/rpc receiver of calls from other nodes.
type methods struct{ node *Node }

// Run sends a shard request to an upstream whose front is this node.
func (m *methods) Run(shardReq *peer.ShardRequest, reply *peer.ShardReply) error {
	ctx, end := m.node.remote.register(context.Background(), peer.Cancel{Request: shardReq.Request, Attempt: shardReq.Attempt})
	defer end()
	*reply = m.node.front.Do(ctx, shardReq)
	return nil
}

// Cancel cancels a shard request whose result is no longer needed.
func (m *methods) Cancel(id *peer.Cancel, _ *peer.None) error {
	m.node.remote.cancel(*id)
	return nil
}

// Notice receives notices about upstreams and the successors of processes that
// have left.
func (m *methods) Notice(notices *peer.Notices, _ *peer.None) error {
	m.node.front.ApplyNotices(*notices)
	m.node.submissions.RecordSuccessors(notices.Successors)
	return nil
}

// Views merges the sender's view of the members and returns the local view.
func (m *methods) Views(args *peer.Views, reply *peer.Views) error {
	m.node.members.step(member.ViewReceived{Records: args.Records})
	m.node.front.ApplyNotices(args.Notices)
	m.node.submissions.RecordSuccessors(args.Notices.Successors)
	reply.Records, _ = m.node.members.snapshot()
	reply.Notices = m.node.front.Notices()
	reply.Notices.Successors = m.node.submissions.Successors()
	return nil
}

// Submit runs a non-idempotent request if this node owns its key.
func (m *methods) Submit(args *peer.Submit, reply *peer.SubmitReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Budget)
	defer cancel()
	*reply = m.node.submissions.Submit(ctx, args)
	return nil
}

// TakeOver receives a slot of the key space from its owner.
func (m *methods) TakeOver(args *peer.TakeOver, _ *peer.None) error {
	return m.node.submissions.TakeOver(args)
}

// Inherit receives the outcomes of the keys that a leaving node issued.
func (m *methods) Inherit(args *peer.Inherit, _ *peer.None) error {
	m.node.submissions.Inherit(args)
	return nil
}

// Versions returns the configuration and catalogue revisions in effect.
func (m *methods) Versions(_ *peer.None, reply *peer.VersionsReply) error {
	reply.Have = m.node.syncer.Versions()
	return nil
}

// Pull returns the changes and the catalogue that the caller lacks.
func (m *methods) Pull(args *peer.Pull, reply *peer.PullReply) error {
	*reply = m.node.syncer.Since(args.Have)
	return nil
}

// Notify receives the revisions of a node that has something newer.
func (m *methods) Notify(args *peer.Notify, _ *peer.None) error {
	m.node.syncer.PullIfNewer(member.PeerVersions{Addr: args.Addr, Versions: args.Have})
	return nil
}

// serveInner accepts connections of other nodes until the listener closes, then
// closes those connections.
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
		n.spawn(func() {
			defer conns.remove(conn)
			server.ServeCodec(peer.NewServerCodec(conn))
		})
		if ctx.Err() != nil {
			return nil
		}
	}
}

func (n *Node) dialInner(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := n.network.Dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return n.credentials.wrapConn(conn, addr)
}
