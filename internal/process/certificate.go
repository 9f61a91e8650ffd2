package process

import (
	"crypto/tls"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// certificateCheckInterval is how often the certificate file is checked for changes, so that a new certificate needs no
// restart.
const certificateCheckInterval = 10 * time.Second

// certificateReloader loads a certificate and its key, and loads them again when the certificate file changes.
type certificateReloader struct {
	certificateFile, keyFile string

	mu          sync.Mutex // guards the fields below
	certificate *tls.Certificate
	modifiedAt  time.Time
	checkedAt   time.Time
}

// listener returns a TLS listener that presents the current certificate.
func (r *certificateReloader) listener(plain net.Listener) net.Listener {
	return tls.NewListener(plain, &tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: r.serverCertificate})
}

func (r *certificateReloader) serverCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return r.load()
}

func (r *certificateReloader) clientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return r.load()
}

// load returns the current certificate. If the changed files cannot be loaded, the previous certificate stays in use.
func (r *certificateReloader) load() (*tls.Certificate, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.certificate != nil && time.Since(r.checkedAt) < certificateCheckInterval {
		return r.certificate, nil
	}
	r.checkedAt = time.Now()
	info, err := os.Stat(r.certificateFile)
	if err == nil && r.certificate != nil && info.ModTime().Equal(r.modifiedAt) {
		return r.certificate, nil
	}
	certificate, loadErr := tls.LoadX509KeyPair(r.certificateFile, r.keyFile)
	if loadErr != nil {
		if r.certificate != nil {
			return r.certificate, nil
		}
		return nil, errors.Wrapf(loadErr, "certificate %s", r.certificateFile)
	}
	r.certificate = &certificate
	if err == nil {
		r.modifiedAt = info.ModTime()
	}
	return r.certificate, nil
}
