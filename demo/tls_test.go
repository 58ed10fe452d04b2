package demo_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"waxwingwall/demo"
	"waxwingwall/settings"
	"waxwingwall/sim"
)

// issueCertificate writes a self-signed certificate for the loopback address, which
// is also the client authority.
func issueCertificate(t *testing.T) settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "fleet"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
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
	dir := t.TempDir()
	files := settings.TLS{
		Certificate:     filepath.Join(dir, "fleet.crt"),
		Key:             filepath.Join(dir, "fleet.key"),
		ClientAuthority: filepath.Join(dir, "fleet.crt"),
	}
	for name, block := range map[string]*pem.Block{
		files.Certificate: {Type: "CERTIFICATE", Bytes: der},
		files.Key:         {Type: "PRIVATE KEY", Bytes: raw},
	} {
		if err := os.WriteFile(name, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// newClient returns a client that trusts the fleet's certificate and optionally
// presents it.
func newClient(t *testing.T, files settings.TLS, withCertificate bool) *http.Client {
	t.Helper()
	data, err := os.ReadFile(files.Certificate)
	if err != nil {
		t.Fatal(err)
	}
	c := &tls.Config{
		RootCAs: x509.NewCertPool(),
	}
	c.RootCAs.AppendCertsFromPEM(data)
	if withCertificate {
		cert, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
		if err != nil {
			t.Fatal(err)
		}
		c.Certificates = []tls.Certificate{cert}
	}
	return &http.Client{
		Transport: &http.Transport{
			TLSClientConfig: c,
		},
	}
}

// TestFleetOverTLS checks that every router serves requests over TLS, two of them by
// forwarding to the third, that operators without a certificate or a key are
// refused, and that stopping the fleet leaks no goroutine.
func TestFleetOverTLS(t *testing.T) {
	files := issueCertificate(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	fleet, stop, err := demo.Start(ctx, demo.WithTLS(files))
	if err != nil {
		t.Fatal(err)
	}
	callers := newClient(t, files, false)
	operators := newClient(t, files, true)
	defer func() {
		stop()
		callers.CloseIdleConnections()
		operators.CloseIdleConnections()
		goleak.VerifyNone(t)
	}()
	for i, addr := range fleet.CallerAddresses() {
		chat := demo.NewChatRequest("over TLS tokens=5", false)
		body, err := json.Marshal(chat)
		if err != nil {
			t.Fatal(err)
		}
		status, answer := call(ctx, t, callers, http.MethodPost, "https://"+addr+"/v1/chat/completions", demo.CallerKey, body)
		if want := sim.Answer(chat.Messages, chat.MaxTokens); status != http.StatusOK || !strings.Contains(answer, want) {
			t.Errorf("router %d: status %d, %s; want %q", i, status, answer, want)
		}
	}
	state := "https://" + fleet.OperatorAddresses()[0] + "/v1/state"
	if status, _ := call(ctx, t, operators, http.MethodGet, state, demo.OperatorKey, nil); status != http.StatusOK {
		t.Errorf("operator with certificate and key: status %d", status)
	}
	if status, _ := call(ctx, t, operators, http.MethodGet, state, "wrong", nil); status != http.StatusUnauthorized {
		t.Errorf("operator with a wrong key: status %d", status)
	}
	if status, _ := call(ctx, t, callers, http.MethodGet, state, demo.OperatorKey, nil); status != 0 {
		t.Errorf("operator without a certificate: status %d", status)
	}
}

// call makes an HTTP call; status 0 means that it failed without an answer.
func call(ctx context.Context, t *testing.T, c *http.Client, method, url, key string, body []byte) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := c.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(data)
}
