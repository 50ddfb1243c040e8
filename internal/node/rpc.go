package node

import (
	"context"
	"net"
	"net/rpc"

	"geraniumstep.org/geraniumstep/internal/inner"
	"geraniumstep.org/geraniumstep/pkg/member"
)

// service carries the methods that other nodes call.
type service struct{ node *Node }

// Run sends a sub-request to an upstream that this node fronts.
func (s *service) Run(sub *inner.Sub, reply *inner.SubReply) error {
	ctx, end := s.node.remote.begin(context.Background(), inner.Cancel{Request: sub.Request, Attempt: sub.Attempt})
	defer end()
	*reply = s.node.front.Do(ctx, sub)
	return nil
}

// Cancel ends a sub-request whose result is no longer wanted.
func (s *service) Cancel(id *inner.Cancel, _ *inner.None) error {
	s.node.remote.cancel(*id)
	return nil
}

// Notice takes news of upstreams.
func (s *service) Notice(notices *inner.Notices, _ *inner.None) error {
	s.node.front.Notice(*notices)
	s.node.holds.inheritances(notices.Heirs)
	return nil
}

// Views exchanges whole views of the members.
func (s *service) Views(args *inner.Views, reply *inner.Views) error {
	s.node.members.step(member.Merged{Records: args.Records})
	s.node.front.Notice(args.Notices)
	s.node.holds.inheritances(args.Notices.Heirs)
	reply.Records, _ = s.node.members.snapshot()
	reply.Notices = s.node.front.Notices()
	reply.Notices.Heirs = s.node.holds.heirList()
	return nil
}

// Submit runs a non-idempotent request, if this node owns its key.
func (s *service) Submit(args *inner.Submit, reply *inner.SubmitReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Budget)
	defer cancel()
	*reply = s.node.holds.submit(ctx, args)
	return nil
}

// TakeOver takes a slot of the key space from its owner.
func (s *service) TakeOver(args *inner.TakeOver, _ *inner.None) error {
	return s.node.holds.takeOver(args)
}

// Inherit takes what became of the keys that a leaving node issued.
func (s *service) Inherit(args *inner.Inherit, _ *inner.None) error {
	s.node.holds.inherit(args)
	return nil
}

// Versions tells what this node has in force.
func (s *service) Versions(_ *inner.None, reply *inner.VersionsReply) error {
	reply.Have = s.node.versions()
	return nil
}

// Pull answers with what the caller lacks.
func (s *service) Pull(args *inner.Pull, reply *inner.PullReply) error {
	*reply = s.node.sync.since(args.Have)
	return nil
}

// Notify hears that another node has something newer.
func (s *service) Notify(args *inner.Notify, _ *inner.None) error {
	s.node.sync.heard(member.Heard{Addr: args.Addr, Versions: args.Have})
	return nil
}

// serveInner accepts connections of other nodes until the listener closes,
// then waits for those connections to end.
func (n *Node) serveInner(ctx context.Context) error {
	server := rpc.NewServer()
	if err := server.RegisterName(inner.Service, &service{node: n}); err != nil {
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
			server.ServeCodec(inner.NewServerCodec(conn))
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
