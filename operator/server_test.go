package operator_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"chicoryhall.example/chicoryhall/certificate"
	"chicoryhall.example/chicoryhall/configuration"
	"chicoryhall.example/chicoryhall/document"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/operator"
	"chicoryhall.example/chicoryhall/table/tabletest"
	"chicoryhall.example/chicoryhall/timer"
)

func newConfig(t *testing.T, logs io.Writer) operator.Config {
	tokens, err := operator.ParseTokens("# comment\nreplies token-of-replies\n")
	must.NoError(t, err)
	logger := event.NewLogger(logs, "test", log.DebugLevel)
	clock := timer.NewManual(time.Unix(1e9, 0))
	documents := configuration.New(configuration.Config{Self: "hall", Timer: clock, Table: &tabletest.Store{}, Log: logger})
	return operator.Config{Documents: documents, Tokens: tokens, Log: logger}
}

func validDocument(t *testing.T) string {
	text, err := os.ReadFile("../document/testdata/seeds/pipeline.yaml")
	must.NoError(t, err)
	return string(text)
}

func TestRefusals(t *testing.T) {
	text := validDocument(t)
	cases := []struct {
		name   string
		method string
		path   string
		header http.Header
		body   string
		status int
		field  string
	}{
		{"no condition", "PUT", "/drafts", nil, text, http.StatusPreconditionRequired, "If-Match"},
		{"malformed ETag", "PUT", "/drafts", http.Header{"If-Match": {`"abc"`}}, text, http.StatusBadRequest, "If-Match"},
		{"version that was never accepted", "PUT", "/drafts", http.Header{"If-Match": {`"7-abc"`}}, text, http.StatusPreconditionFailed, "If-Match"},
		{"document of another service", "PUT", "/other", http.Header{"If-None-Match": {"*"}}, text, http.StatusUnprocessableEntity, "service"},
		{"document of another team", "PUT", "/drafts", http.Header{"If-None-Match": {"*"}}, strings.Replace(text, "team: replies", "team: others", 1), http.StatusForbidden, "team"},
		{"document with mistakes", "PUT", "/drafts", http.Header{"If-None-Match": {"*"}}, "service: drafts", http.StatusUnprocessableEntity, ""},
		{"too large", "PUT", "/drafts", http.Header{"If-None-Match": {"*"}}, strings.Repeat("#", document.MaxBytes+1), http.StatusRequestEntityTooLarge, "body"},
		{"unknown service", "GET", "/drafts", nil, "", http.StatusNotFound, "service"},
		{"wrong token", "GET", "/drafts", http.Header{"Authorization": {"Bearer token-of-nobody"}}, "", http.StatusUnauthorized, "Authorization"},
		{"no bearer token", "GET", "/drafts", http.Header{"Authorization": {"token-of-replies"}}, "", http.StatusUnauthorized, "Authorization"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var logs bytes.Buffer
			request := httptest.NewRequest(c.method, "/v1/documents"+c.path, strings.NewReader(c.body))
			request.Header = http.Header{"Authorization": {"Bearer token-of-replies"}}
			for name, values := range c.header {
				request.Header[name] = values
			}
			recorder := httptest.NewRecorder()
			operator.NewServer(newConfig(t, &logs)).Handler().ServeHTTP(recorder, request)
			must.Eq(t, c.status, recorder.Code)
			var problem operator.Problem
			must.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &problem))
			must.Eq(t, c.field, problem.Field)
			must.NotEq(t, "", problem.Detail)
			must.StrNotContains(t, logs.String(), "token-of")
		})
	}
}

// writeCertificate writes a new certificate for 127.0.0.1 and its key to folder and returns the certificate in PEM form.
func writeCertificate(t *testing.T, folder string) []byte {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: serial, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	must.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	must.NoError(t, err)
	certificate := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	must.NoError(t, os.WriteFile(filepath.Join(folder, "key.pem"), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), 0o600))
	must.NoError(t, os.WriteFile(filepath.Join(folder, "certificate.pem"), certificate, 0o600))
	return certificate
}

func TestRenewedCertificateIsServed(t *testing.T) {
	folder := t.TempDir()
	first := writeCertificate(t, folder)
	config := newConfig(t, io.Discard)
	clock := timer.NewManual(time.Unix(0, 0))
	reloader, err := certificate.New(filepath.Join(folder, "certificate.pem"), filepath.Join(folder, "key.pem"), clock, config.Log)
	must.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	config.Address, config.TLS = listener.Addr().String(), reloader.Config()
	must.NoError(t, listener.Close())
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- operator.NewServer(config).Serve(ctx) }()
	defer func() {
		cancel()
		<-served
	}()

	apply := func(roots []byte, text, tag string) error {
		client, err := operator.NewClient(config.Address, "token-of-replies", roots)
		must.NoError(t, err)
		_, err = client.Apply(t.Context(), "drafts", text, tag)
		return err
	}
	// Later calls fail as version 1 exists. This error means that the TLS handshake succeeded.
	must.Wait(t, wait.InitialSuccess(wait.Timeout(5*time.Second), wait.ErrorFunc(func() error { return apply(first, validDocument(t), "") })))

	second := writeCertificate(t, folder)
	must.ErrorContains(t, apply(second, validDocument(t), ""), "certificate")
	// The files are not read again before the clock advances. A broken key leaves the first certificate in use.
	must.NoError(t, os.WriteFile(filepath.Join(folder, "key.pem"), []byte("broken"), 0o600))
	clock.Advance(time.Minute)
	must.ErrorContains(t, apply(first, validDocument(t), ""), "version 1 is accepted")
	third := writeCertificate(t, folder)
	clock.Advance(time.Minute)
	must.ErrorContains(t, apply(third, validDocument(t), ""), "version 1 is accepted")
}
