// Package certs provides TLS configurations that reload their certificate files: a
// certificate or authority that is replaced on disk is used for new connections,
// without a restart. It also encrypts datagrams with a shared key:
//
//	s, err := certs.Open(setup.Pair{Cert: "cert.pem", Key: "key.pem", CA: "ca.pem"})
//	l, err := tls.Listen("tcp", addr, s.Server())
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"geraniumstep.org/geraniumstep/internal/setup"
)

// checkInterval is the minimum time between two checks for changed files.
const checkInterval = time.Second

// Source holds one certificate, its key and an authority, and reloads them when
// their files change. It is safe for concurrent use.
type Source struct {
	pair setup.Pair

	mu      sync.Mutex
	checked time.Time
	state   string
	cert    *tls.Certificate
	roots   *x509.CertPool
}

// Open reads the files. It returns nil if the pair has no files.
func Open(pair setup.Pair) (*Source, error) {
	if !pair.Enabled() {
		return nil, nil
	}
	s := &Source{pair: pair}
	return s, s.refresh()
}

// refresh reads the files again if they have changed since the last read, at most
// once per checkInterval.
func (s *Source) refresh() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != "" && time.Since(s.checked) < checkInterval {
		return nil
	}
	s.checked = time.Now()
	state := fileState(s.pair.Cert) + fileState(s.pair.Key) + fileState(s.pair.CA)
	if state == s.state {
		return nil
	}
	if err := s.read(); err != nil {
		return err
	}
	s.state = state
	return nil
}

// fileState returns the modification time and size of a file, for detecting changes.
func fileState(path string) string {
	info, err := os.Stat(path)
	if err != nil {
		return path + ":absent;"
	}
	return fmt.Sprintf("%s:%d:%d;", path, info.ModTime().UnixNano(), info.Size())
}

// read replaces both the certificate and the authority, or neither if one of them
// is invalid.
func (s *Source) read() error {
	var cert *tls.Certificate
	var roots *x509.CertPool
	if s.pair.Cert != "" {
		c, err := tls.LoadX509KeyPair(s.pair.Cert, s.pair.Key)
		if err != nil {
			return fmt.Errorf("cannot load certificate %s with key %s: %w; both must be in PEM form", s.pair.Cert, s.pair.Key, err)
		}
		cert = &c
	}
	if s.pair.CA != "" {
		data, err := os.ReadFile(s.pair.CA)
		if err != nil {
			return fmt.Errorf("cannot read authority %s: %w", s.pair.CA, err)
		}
		roots = x509.NewCertPool()
		if !roots.AppendCertsFromPEM(data) {
			return fmt.Errorf("authority %s contains no certificate; it must be in PEM form", s.pair.CA)
		}
	}
	s.cert, s.roots = cert, roots
	return nil
}

// current returns the last valid certificate and authority. If a changed file is
// invalid, the previous ones remain in use.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	_ = s.refresh()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cert, s.roots
}

// Server returns the TLS configuration of a listener. If an authority is set,
// clients must present a certificate signed by it.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, roots := s.current()
			if cert == nil {
				return nil, fmt.Errorf("no certificate is configured; set cert and key under tls")
			}
			conf := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}}
			if roots != nil {
				conf.ClientCAs, conf.ClientAuth = roots, tls.RequireAndVerifyClientCert
			}
			return conf, nil
		},
	}
}

// Client returns the TLS configuration for connections to the named host.
func (s *Source) Client(host string) *tls.Config {
	cert, roots := s.current()
	conf := &tls.Config{MinVersion: tls.VersionTLS13, ServerName: host, RootCAs: roots}
	if cert != nil {
		conf.Certificates = []tls.Certificate{*cert}
	}
	return conf
}
