package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"geraniumstep.org/geraniumstep/internal/certs"
	"geraniumstep.org/geraniumstep/internal/front"
	"geraniumstep.org/geraniumstep/internal/setup"
)

// credentials holds the certificates of the node's connections and the key of its
// datagrams. A nil source means plain TCP, and a nil sealer unencrypted datagrams.
type credentials struct {
	caller   *certs.Source
	inner    *certs.Source
	upstream *certs.Source
	gossip   *certs.Sealer
}

func (c *credentials) load(set setup.TLS) error {
	var err error
	if c.caller, err = certs.Open(set.Caller); err != nil {
		return err
	}
	if c.inner, err = certs.Open(set.Inner); err != nil {
		return err
	}
	if c.upstream, err = certs.Open(set.Upstream); err != nil {
		return err
	}
	c.gossip, err = certs.OpenSealer(set.GossipKey)
	return err
}

// wrapListener wraps a listener in TLS if it has a certificate.
func (c *credentials) wrapListener(l net.Listener, source *certs.Source) net.Listener {
	if source == nil {
		return l
	}
	return tls.NewListener(l, source.Server())
}

// wrapConn wraps a connection to another node in TLS if the node has a certificate
// for such connections.
func (c *credentials) wrapConn(conn net.Conn, addr string) (net.Conn, error) {
	if c.inner == nil {
		return conn, nil
	}
	return handshake(context.Background(), conn, addr, c.inner)
}

func handshake(ctx context.Context, conn net.Conn, addr string, source *certs.Source) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	secured := tls.Client(conn, source.Client(host))
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return secured, nil
}

// frontOptions returns the options that enable TLS for connections to upstreams.
func (c *credentials) frontOptions() []front.Option {
	if c.upstream == nil {
		return nil
	}
	return []front.Option{front.WithTransport("https", func(t *http.Transport) {
		dial := t.DialContext
		t.DialTLSContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return handshake(ctx, conn, addr, c.upstream)
		}
	})}
}
