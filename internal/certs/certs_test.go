package certs_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"geraniumstep.org/geraniumstep/internal/certs"
	"geraniumstep.org/geraniumstep/internal/setup"
)

// authority is a certificate authority that signs certificates for 127.0.0.1.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	pem  []byte
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	a.cert, _ = x509.ParseCertificate(der)
	a.pem = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// write issues a certificate with the serial number and writes the pair's files.
func (a *authority) write(t *testing.T, pair setup.Pair, serial int64) {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	save(t, pair.Cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	save(t, pair.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: secret}))
	save(t, pair.CA, a.pem)
}

func save(t *testing.T, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

func newPair(t *testing.T) setup.Pair {
	dir := t.TempDir()
	return setup.Pair{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
}

func open(t *testing.T, pair setup.Pair) *certs.Source {
	t.Helper()
	s, err := certs.Open(pair)
	if err != nil {
		t.Fatalf("Open() = %v", err)
	}
	return s
}

// handshake connects a client to a server and returns the serial number of the
// certificate that the client received.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	const testTimeout = 10 * time.Second
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		_, _ = c.Write([]byte("x"))
		_, _ = c.Read(make([]byte, 1))
	}()
	c, err := tls.Dial("tcp", l.Addr().String(), client)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := c.Read(make([]byte, 1)); err != nil {
		return 0, err
	}
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestMutualTLSAndReload(t *testing.T) {
	a, pair := newAuthority(t), newPair(t)
	a.write(t, pair, 10)
	s := open(t, pair)
	if serial, err := handshake(t, s.Server(), s.Client("127.0.0.1")); err != nil || serial != 10 {
		t.Errorf("handshake received certificate %d, %v, want 10", serial, err)
	}
	a.write(t, pair, 11)
	time.Sleep(1100 * time.Millisecond)
	if serial, err := handshake(t, s.Server(), s.Client("127.0.0.1")); err != nil || serial != 11 {
		t.Errorf("handshake after a replacement received certificate %d, %v, want 11", serial, err)
	}
	save(t, pair.Cert, []byte("broken"))
	time.Sleep(1100 * time.Millisecond)
	if serial, err := handshake(t, s.Server(), s.Client("127.0.0.1")); err != nil || serial != 11 {
		t.Errorf("handshake after a broken replacement received certificate %d, %v, want still 11", serial, err)
	}
}

func TestUntrustedPeersAreRejected(t *testing.T) {
	pair, otherPair := newPair(t), newPair(t)
	newAuthority(t).write(t, pair, 1)
	newAuthority(t).write(t, otherPair, 2)
	s, other := open(t, pair), open(t, otherPair)
	anonymous := &tls.Config{ServerName: "127.0.0.1", RootCAs: s.Client("x").RootCAs}
	for name, client := range map[string]*tls.Config{"another authority": other.Client("127.0.0.1"), "no certificate": anonymous, "another host": s.Client("127.0.0.9")} {
		if _, err := handshake(t, s.Server(), client); err == nil {
			t.Errorf("handshake with %s succeeded, want an error", name)
		}
	}
}

func TestOpenErrorsNameTheFile(t *testing.T) {
	pair := newPair(t)
	if _, err := certs.Open(pair); err == nil || !strings.Contains(err.Error(), pair.Cert) {
		t.Errorf("Open() of missing files = %v, want it to name %s", err, pair.Cert)
	}
	if s, err := certs.Open(setup.Pair{}); s != nil || err != nil {
		t.Errorf("Open() of no files = %v, %v, want nil, nil", s, err)
	}
}

func TestSealer(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	save(t, path, []byte(strings.Repeat("0f", 32)+"\n"))
	s, err := certs.OpenSealer(path)
	if err != nil {
		t.Fatalf("OpenSealer() = %v", err)
	}
	data := []byte("probe")
	sealed := s.Seal(data)
	if got, err := s.Unseal(sealed); err != nil || !bytes.Equal(got, data) {
		t.Errorf("Unseal() = %q, %v, want %q", got, err, data)
	}
	sealed[len(sealed)-1] ^= 1
	if _, err := s.Unseal(sealed); err == nil {
		t.Error("Unseal() accepted a modified datagram")
	}
	if _, err := s.Unseal(data); err == nil {
		t.Error("Unseal() accepted an unencrypted datagram")
	}
	save(t, path, []byte("short"))
	if _, err := certs.OpenSealer(path); err == nil {
		t.Error("OpenSealer() accepted a short key")
	}
}
