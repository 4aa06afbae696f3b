package daemon_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// writeCertificate writes a self-signed certificate for the loopback address and returns a pool that trusts it and the
// settings that name its files.
func writeCertificate(t *testing.T, folder string) (pool *x509.CertPool, settings string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	must.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	must.NoError(t, err)
	certificate := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	certificateFile, keyFile := filepath.Join(folder, "certificate.pem"), filepath.Join(folder, "key.pem")
	must.NoError(t, os.WriteFile(certificateFile, certificate, 0o600))
	must.NoError(t, os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), 0o600))
	pool = x509.NewCertPool()
	must.True(t, pool.AppendCertsFromPEM(certificate))
	return pool, fmt.Sprintf("tls: {certificate: %q, key: %q}\n", certificateFile, keyFile)
}

// TestTLS submits requests over TLS.
func TestTLS(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	pool, settings := writeCertificate(t, t.TempDir())
	documents := []string{documentText("pipeline", startEngines(t))}
	d := launchDaemon(t, 0, []string{freeAddress(t)}, nil, documents, settings)
	client := newCaller(d)
	client.scheme = "https"
	client.client = http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	waitFor(t, "the daemon to be ready", func() bool {
		return client.do(context.Background(), http.MethodGet, "/readyz", nil, 0).status == http.StatusNoContent
	})
	for i := range 3 {
		r := client.submit(context.Background(), query(promptOf(i), 20), 0)
		mustBeComplete(t, r, promptOf(i), 20)
	}
}
