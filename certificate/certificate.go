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

// checkPeriod lies between two looks at the files.
const checkPeriod = 10 * time.Second

// Reloader holds the newest good certificate of two files.
type Reloader struct {
	certificatePath string
	keyPath         string
	log             *event.Logger
	current         atomic.Pointer[tls.Certificate]
	// sum is of the files last read; only one goroutine at a time reads them.
	sum [sha256.Size]byte
}

// New reads both files, in PEM form, and looks at them again with the timer.
func New(certificatePath, keyPath string, timer chicoryhall.Timer, log *event.Logger) (*Reloader, error) {
	r := &Reloader{certificatePath: certificatePath, keyPath: keyPath, log: log}
	if _, err := r.read(); err != nil {
		return nil, err
	}
	timer.Every(checkPeriod, func(time.Time) { r.check() })
	return r, nil
}

// Config returns a server's TLS configuration with the newest certificate.
func (r *Reloader) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return r.current.Load(), nil
		},
	}
}

func (r *Reloader) check() {
	changed, err := r.read()
	switch {
	case err != nil:
		r.log.Log(event.CertificateNotReloaded, "certificate", r.certificatePath, "key", r.keyPath, "error", err)
	case changed:
		r.log.Log(event.CertificateReloaded, "certificate", r.certificatePath)
	}
}

func (r *Reloader) read() (changed bool, err error) {
	certificate, err := os.ReadFile(r.certificatePath)
	if err != nil {
		return false, errors.Wrap(err, "read certificate")
	}
	key, err := os.ReadFile(r.keyPath)
	if err != nil {
		return false, errors.Wrap(err, "read key")
	}
	sum := sha256.Sum256(append(append([]byte{}, certificate...), key...))
	if sum == r.sum {
		return false, nil
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return false, errors.Wrapf(err, "match certificate %s with key %s", r.certificatePath, r.keyPath)
	}
	r.sum = sum
	r.current.Store(&pair)
	return true, nil
}
