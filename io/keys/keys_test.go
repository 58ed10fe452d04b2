package keys_test

import (
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
	"testing"
	"time"

	"waxwingwall/io/keys"
)

// issue writes a self-signed certificate with its key and returns the files.
func issue(t *testing.T, dir, name string) keys.Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(time.Now().UnixNano()),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	f := keys.Files{
		Certificate: filepath.Join(dir, name+".crt"),
		Key:         filepath.Join(dir, name+".key"),
	}
	f.Authority = f.Certificate
	write(t, f.Certificate, "CERTIFICATE", der)
	write(t, f.Key, "PRIVATE KEY", raw)
	return f
}

func write(t *testing.T, name, kind string, data []byte) {
	t.Helper()
	if err := os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// handshake connects a client with configuration c to a server with s and
// returns the first error of either side.
func handshake(t *testing.T, s, c *tls.Config) error {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	result := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			result <- err
			return
		}
		defer conn.Close()
		result <- tls.Server(conn, s).Handshake()
	}()
	conn, err := tls.Dial("tcp", l.Addr().String(), c)
	if err == nil {
		defer conn.Close()
	}
	if serverErr := <-result; serverErr != nil {
		return serverErr
	}
	return err
}

func TestPeersNeedSameAuthority(t *testing.T) {
	dir := t.TempDir()
	a, err := keys.New(issue(t, dir, "fleet"))
	if err != nil {
		t.Fatal(err)
	}
	other, err := keys.New(issue(t, dir, "other"))
	if err != nil {
		t.Fatal(err)
	}
	if err := handshake(t, a.Peer(), a.Peer()); err != nil {
		t.Fatalf("peers of the same authority: %v", err)
	}
	if err := handshake(t, a.Peer(), other.Peer()); err == nil {
		t.Fatal("a peer of another authority was accepted")
	}
	if err := handshake(t, other.Peer(), a.Peer()); err == nil {
		t.Fatal("a server of another authority was trusted")
	}
	if err := handshake(t, a.Peer(), &tls.Config{InsecureSkipVerify: true}); err == nil {
		t.Fatal("a client without a certificate was accepted")
	}
}

func TestCertificateReload(t *testing.T) {
	dir := t.TempDir()
	f := issue(t, dir, "fleet")
	s, err := keys.New(f)
	if err != nil {
		t.Fatal(err)
	}
	before := servedCertificate(t, s)
	issue(t, dir, "fleet")
	later := time.Now().Add(time.Minute)
	for _, name := range []string{f.Certificate, f.Key} {
		if err := os.Chtimes(name, later, later); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(1100 * time.Millisecond)
	if servedCertificate(t, s) == before {
		t.Fatal("the old certificate is still served")
	}
	if err := os.WriteFile(f.Certificate, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	if servedCertificate(t, s) == "" {
		t.Fatal("an invalid file removed the certificate")
	}
}

func servedCertificate(t *testing.T, s *keys.Source) string {
	t.Helper()
	c, err := s.Server().GetConfigForClient(nil)
	if err != nil {
		t.Fatal(err)
	}
	return string(c.Certificates[0].Certificate[0])
}
