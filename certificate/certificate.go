package certificate

import (
	"crypto/sha256"
	"os"
	"sync/atomic"
	"time"

	"github.com/lesismal/llib/std/crypto/tls"
	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
)

// checkPeriod is the time between two checks of the files for changes.
const checkPeriod = 10 * time.Second

// Reloader provides the last valid certificate read from a certificate file and a key file.
type Reloader struct {
	certificatePath string
	keyPath         string
	log             *event.Logger
	current         atomic.Pointer[tls.Certificate]
	// digest is the digest of the files' contents behind current. It needs no lock, as the files are read in New and
	// then only by the timer's calls.
	digest [sha256.Size]byte
}

// New reads both files, which are in PEM form, and starts to check them for changes every checkPeriod.
func New(certificatePath, keyPath string, timer chicoryhall.Timer, log *event.Logger) (*Reloader, error) {
	r := &Reloader{certificatePath: certificatePath, keyPath: keyPath, log: log}
	if _, err := r.read(); err != nil {
		return nil, err
	}
	timer.Every(checkPeriod, func(time.Time) { r.check() })
	return r, nil
}

// Config returns a TLS configuration for servers that uses the last valid certificate for each new connection.
func (r *Reloader) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return r.current.Load(), nil
		},
	}
}

// check reads the files and logs whether the certificate has changed.
func (r *Reloader) check() {
	changed, err := r.read()
	switch {
	case err != nil:
		r.log.Log(event.CertificateNotReloaded, "certificate", r.certificatePath, "key", r.keyPath, "error", err)
	case changed:
		r.log.Log(event.CertificateReloaded, "certificate", r.certificatePath)
	}
}

// read reads the files and, if they have changed, replaces the certificate. On an error the previous one stays.
func (r *Reloader) read() (changed bool, err error) {
	certificate, err := os.ReadFile(r.certificatePath)
	if err != nil {
		return false, errors.Wrap(err, "read certificate")
	}
	key, err := os.ReadFile(r.keyPath)
	if err != nil {
		return false, errors.Wrap(err, "read key")
	}
	digest := sha256.Sum256(append(append([]byte{}, certificate...), key...))
	if digest == r.digest {
		return false, nil
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return false, errors.Wrapf(err, "match certificate %s with key %s", r.certificatePath, r.keyPath)
	}
	r.digest = digest
	r.current.Store(&pair)
	return true, nil
}
