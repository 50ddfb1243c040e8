// Package certs turns certificate files into TLS configurations that follow
// the files: a certificate or authority that is replaced on disk is used by the
// next connection, without a restart.
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

// checkEvery is how often the files are looked at, at most.
const checkEvery = time.Second

// Source follows the files of one certificate, key and authority. It is safe
// for concurrent use.
type Source struct {
	pair setup.Pair

	mu      sync.Mutex
	checked time.Time
	stamp   string
	cert    *tls.Certificate
	roots   *x509.CertPool
}

// Open reads the files. It returns nil when the pair names none.
func Open(pair setup.Pair) (*Source, error) {
	if !pair.Enabled() {
		return nil, nil
	}
	s := &Source{pair: pair}
	return s, s.refresh()
}

// refresh reads the files again if they have changed.
func (s *Source) refresh() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stamp != "" && time.Since(s.checked) < checkEvery {
		return nil
	}
	s.checked = time.Now()
	stamp := stampOf(s.pair.Cert) + stampOf(s.pair.Key) + stampOf(s.pair.CA)
	if stamp == s.stamp {
		return nil
	}
	if err := s.read(); err != nil {
		return err
	}
	s.stamp = stamp
	return nil
}

func stampOf(path string) string {
	info, err := os.Stat(path)
	if err != nil {
		return path + ":absent;"
	}
	return fmt.Sprintf("%s:%d:%d;", path, info.ModTime().UnixNano(), info.Size())
}

// read replaces both or, on a mistake in either, neither.
func (s *Source) read() error {
	var cert *tls.Certificate
	var roots *x509.CertPool
	if s.pair.Cert != "" {
		c, err := tls.LoadX509KeyPair(s.pair.Cert, s.pair.Key)
		if err != nil {
			return fmt.Errorf("certificate %s with key %s cannot be used: %w; write both in PEM form", s.pair.Cert, s.pair.Key, err)
		}
		cert = &c
	}
	if s.pair.CA != "" {
		data, err := os.ReadFile(s.pair.CA)
		if err != nil {
			return fmt.Errorf("authority %s cannot be read: %w", s.pair.CA, err)
		}
		roots = x509.NewCertPool()
		if !roots.AppendCertsFromPEM(data) {
			return fmt.Errorf("authority %s holds no certificate; write it in PEM form", s.pair.CA)
		}
	}
	s.cert, s.roots = cert, roots
	return nil
}

// current gives the newest usable files. A file that cannot be used leaves the
// last good one in force.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	_ = s.refresh()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cert, s.roots
}

// Server gives the configuration of a listening side. With an authority,
// clients must show a certificate that it signed.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, roots := s.current()
			if cert == nil {
				return nil, fmt.Errorf("no certificate is set; name one under tls")
			}
			conf := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}}
			if roots != nil {
				conf.ClientCAs, conf.ClientAuth = roots, tls.RequireAndVerifyClientCert
			}
			return conf, nil
		},
	}
}

// Client gives the configuration of a dialling side towards the named host.
func (s *Source) Client(host string) *tls.Config {
	cert, roots := s.current()
	conf := &tls.Config{MinVersion: tls.VersionTLS13, ServerName: host, RootCAs: roots}
	if cert != nil {
		conf.Certificates = []tls.Certificate{*cert}
	}
	return conf
}
