package mesh

import (
	"errors"
	"net"
	"time"

	"geraniumstep.org/geraniumstep/internal/follow"
	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/pkg/member"
)

// accept serves the connections of other nodes until the listener is closed.
func (m *Mesh) accept() {
	for {
		c, err := m.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			m.log.WithField("error", err.Error()).Warn("mesh: accept failed.")
			continue
		}
		m.mu.Lock()
		m.conns[c] = true
		m.mu.Unlock()
		go func() {
			m.server.ServeCodec(peer.NewServerCodec(c))
			m.mu.Lock()
			delete(m.conns, c)
			m.mu.Unlock()
		}()
	}
}

// methods is the net/rpc service that other nodes call.
type methods struct{ mesh *Mesh }

// Views merges the caller's membership view and returns this node's view.
func (s *methods) Views(args *Views, reply *Views) error {
	s.mesh.step(member.ViewReceived{Records: args.Records})
	reply.Records = s.mesh.records()
	return nil
}

// Push applies changes that the domain's reader has read from the store. When
// earlier changes are missing, the reader's next heartbeat triggers a pull.
func (s *methods) Push(args *Push, _ *Empty) error {
	if args.Topic == follow.Routes || args.Topic == follow.Upstreams {
		s.mesh.state.Merge(args.Topic, args.Batch)
	}
	return nil
}

// PushEvacuations is Push for evacuations.
func (s *methods) PushEvacuations(args *Push, _ *Empty) error {
	if s.mesh.evacuations {
		s.mesh.state.Merge(follow.Evacuations, args.Batch)
	}
	return nil
}

// PullEvacuations is Pull for evacuations.
func (s *methods) PullEvacuations(args *Pull, reply *PullReply) error {
	args.Topic = follow.Evacuations
	return s.Pull(args, reply)
}

// Pull returns the changes of a topic if this node has a newer revision than the
// caller.
func (s *methods) Pull(args *Pull, reply *PullReply) error {
	if s.mesh.state.Revisions().Of(args.Topic) <= args.Have {
		return nil
	}
	b := s.mesh.state.Since(args.Topic, args.Have)
	reply.Batch = &b
	return nil
}

// Replies returns the replies of the store that are known to this node.
func (s *methods) Replies(_ *Empty, reply *RepliesReply) error {
	reply.Replies = *newReplyAges(s.mesh.state.StoreReplies(), time.Now())
	reply.Have = s.mesh.state.Revisions()
	return nil
}
