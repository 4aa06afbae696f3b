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

// checkPeriod is the period of the checks for changes of the files.
const checkPeriod = 10 * time.Second

// Reloader provides a certificate read from a certificate file and a key file: the last one that matched its key. It
// does not check whether the certificate has expired.
type Reloader struct {
	certificatePath string
	keyPath         string
	log             *event.Logger
	current         atomic.Pointer[tls.Certificate]
	// digest is the digest of the files from which current was read. It needs no lock: after New, only the timer's calls
	// read the files, one at a time.
	digest [sha256.Size]byte
}

// New reads both files, which are in PEM form. From then on, it checks them for changes every checkPeriod, for as long
// as the timer runs.
func New(certificatePath, keyPath string, timer chicoryhall.Timer, log *event.Logger) (*Reloader, error) {
	r := &Reloader{certificatePath: certificatePath, keyPath: keyPath, log: log}
	if _, err := r.readIfChanged(); err != nil {
		return nil, err
	}
	timer.Every(checkPeriod, func(time.Time) { r.reload() })
	return r, nil
}

// Config returns a TLS configuration for servers that uses the current certificate for each new connection.
func (r *Reloader) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return r.current.Load(), nil
		},
	}
}

// reload replaces the certificate if the files have changed, and logs a change or a failure. As long as the files are
// wrong, each call logs a failure.
func (r *Reloader) reload() {
	changed, err := r.readIfChanged()
	switch {
	case err != nil:
		r.log.Log(event.CertificateNotReloaded, "certificate", r.certificatePath, "key", r.keyPath, "error", err)
	case changed:
		r.log.Log(event.CertificateReloaded, "certificate", r.certificatePath)
	}
}

// readIfChanged reads the files and, if they have changed, replaces the certificate. On an error, certificate and digest are
// kept, so that the next check tries again.
func (r *Reloader) readIfChanged() (changed bool, err error) {
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
		return false, errors.Wrapf(err, "load certificate %s with key %s", r.certificatePath, r.keyPath)
	}
	r.digest = digest
	r.current.Store(&pair)
	return true, nil
}
