// Package keys loads the keys of TLS listeners and clients: certificates with
// their private keys. Bearer keys of callers and operators are not its subject.
//
// A Source reloads its files when a connection is made and they have changed,
// so that certificates are renewed without a restart. If the new files can't be
// loaded, the old certificate stays in use.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// recheckInterval is the minimum time between two checks of the files.
const recheckInterval = time.Second

// Files names PEM files.
type Files struct {
	// Certificate contains the chain, Key the private key.
	Certificate, Key string

	// Authority contains the certificate authorities that the peer's certificate
	// is verified against; if empty, no certificate is required.
	Authority string
}

// Source provides the current certificate and authorities.
type Source struct {
	files Files

	mu        sync.Mutex
	checkedAt time.Time
	modTime   time.Time
	cert      *tls.Certificate
	pool      *x509.CertPool
}

// New loads the files.
func New(f Files) (*Source, error) {
	s := &Source{
		files: f,
	}
	if err := s.load(); err != nil {
		return nil, err
	}
	s.modTime = s.latestModTime()
	return s, nil
}

// load loads all files, or changes nothing.
func (s *Source) load() error {
	cert, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return trace.Wrap(err)
	}
	var pool *x509.CertPool
	if s.files.Authority != "" {
		pem, err := os.ReadFile(s.files.Authority)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return trace.BadParameter("%s: no certificate", s.files.Authority)
		}
	}
	s.cert = &cert
	s.pool = pool
	return nil
}

// latestModTime returns the latest modification time of the files.
func (s *Source) latestModTime() time.Time {
	var t time.Time
	for _, name := range []string{s.files.Certificate, s.files.Key, s.files.Authority} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(t) {
			t = info.ModTime()
		}
	}
	return t
}

// current returns the certificate and the authorities, reloaded if the files
// have changed.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checkedAt) < recheckInterval {
		return s.cert, s.pool
	}
	s.checkedAt = time.Now()
	if t := s.latestModTime(); t.After(s.modTime) {
		if err := s.load(); err == nil {
			s.modTime = t
		}
	}
	return s.cert, s.pool
}

// Server returns the configuration of a listener.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := s.current()
			c := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*cert},
				NextProtos:   []string{"h2", "http/1.1"},
			}
			if pool != nil {
				c.ClientAuth = tls.RequireAndVerifyClientCert
				c.ClientCAs = pool
			}
			return c, nil
		},
	}
}

// Peer returns the configuration for both sides of a connection between
// routers. A peer is authenticated by its authority alone: addresses are IP
// addresses that change with every VM, so a certificate can't name them.
func (s *Source) Peer() *tls.Config {
	c := s.Server()
	c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		cert, _ := s.current()
		return cert, nil
	}
	c.InsecureSkipVerify = true
	c.VerifyConnection = s.verifyPeer
	return c
}

// verifyPeer verifies the chain against the authorities, without checking a
// name.
func (s *Source) verifyPeer(state tls.ConnectionState) error {
	_, pool := s.current()
	if len(state.PeerCertificates) == 0 {
		return trace.AccessDenied("peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return trace.Wrap(err)
}
