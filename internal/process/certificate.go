package process

import (
	"crypto/tls"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// certificateCheck is the interval at which a changed certificate file is noticed, without a restart.
const certificateCheck = 10 * time.Second

// certificateReloader reads a certificate again when its file changes.
type certificateReloader struct {
	certificateFile, keyFile string

	mu          sync.Mutex // guards the fields below
	certificate *tls.Certificate
	modified    time.Time
	checked     time.Time
}

// listener returns a TLS listener that shows the newest certificate.
func (r *certificateReloader) listener(plain net.Listener) net.Listener {
	return tls.NewListener(plain, &tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: r.server})
}

func (r *certificateReloader) server(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.load() }

func (r *certificateReloader) client(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return r.load()
}

// load returns the newest readable certificate. A broken new file leaves the old certificate in use.
func (r *certificateReloader) load() (*tls.Certificate, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.certificate != nil && time.Since(r.checked) < certificateCheck {
		return r.certificate, nil
	}
	r.checked = time.Now()
	info, err := os.Stat(r.certificateFile)
	if err == nil && r.certificate != nil && info.ModTime().Equal(r.modified) {
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
		r.modified = info.ModTime()
	}
	return r.certificate, nil
}
