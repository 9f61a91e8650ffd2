// Package process has the parts that the server programs share: command line, logger, TLS, listeners and stop signals.
package process

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	"github.com/fulmardoor/fulmardoor/internal/ingress"
)

// Version is set at build time.
var Version = "0.1.0"

// Logger returns a JSON logger to standard error and its level, which can be changed while the process runs.
func Logger(settings *configv1.ProcessSettings) (*zap.Logger, zap.AtomicLevel, error) {
	level, err := zap.ParseAtomicLevel(settings.GetLogLevel())
	if err != nil {
		return nil, level, errors.Wrap(err, "log level")
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = level
	cfg.Sampling = nil
	cfg.DisableStacktrace = true
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	logger, err := cfg.Build()
	if err != nil {
		return nil, level, errors.Wrap(err, "build logger")
	}
	return logger.With(zap.String("process", settings.GetName()), zap.String("host", settings.GetHost()),
		zap.String("data_centre", settings.GetDataCentre())), level, nil
}

// maxLogLevelBytes is more than any request that sets the log level.
const maxLogLevelBytes = 1 << 10

// LogLevelHandler shows and changes the log level. The handler of zap reads a body of any size.
func LogLevelHandler(level zap.AtomicLevel) http.Handler {
	return http.MaxBytesHandler(level, maxLogLevelBytes)
}

// Signals returns a context that ends at the first SIGTERM or SIGINT, and a channel that is closed at the second.
func Signals() (first context.Context, second <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	secondSignal := make(chan struct{})
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		<-signals
		close(secondSignal)
	}()
	return ctx, secondSignal
}

// IgnoreReloads keeps the process running at SIGHUP, whose default action would end it, and logs that there is nothing to reload.
func IgnoreReloads(logger *zap.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for range signals {
			logger.Info("SIGHUP ignored: documents and certificates are reloaded without it, settings need a restart")
		}
	}()
}

// Listen opens a TCP listener with the limits of a guard, with TLS if certificateFile is set. An error of the listener names the setting.
func Listen(guard *ingress.Guard, setting, address, certificateFile, keyFile string) (net.Listener, error) {
	listener, err := guard.Listen(address)
	if err != nil {
		return nil, errors.Wrapf(err, "setting %s", setting)
	}
	if certificateFile == "" {
		return listener, nil
	}
	reloader := &certificateReloader{certificateFile: certificateFile, keyFile: keyFile}
	if _, err := reloader.load(); err != nil {
		_ = listener.Close()
		return nil, err
	}
	return reloader.listener(ingress.Handshakes(listener)), nil
}

// PeerListener opens the listener for other processes of the system. With certificate files in the settings it uses mutual
// TLS: both sides must present a certificate of the configured authority.
func PeerListener(guard *ingress.Guard, settings *configv1.PeerSettings) (net.Listener, error) {
	listener, err := guard.Listen(settings.GetListen())
	if err != nil {
		return nil, errors.Wrap(err, "setting peers.listen")
	}
	if settings.GetCertificateFile() == "" {
		return listener, nil
	}
	config, err := peerTLS(settings)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	return tls.NewListener(ingress.Handshakes(listener), config), nil
}

// PeerDialer connects to other processes of the system.
type PeerDialer struct {
	dialer net.Dialer
	config *tls.Config
}

// NewPeerDialer returns a dialer for TCP without TLS, or for mutual TLS if the settings have certificate files.
func NewPeerDialer(settings *configv1.PeerSettings) (*PeerDialer, error) {
	if settings.GetCertificateFile() == "" {
		return &PeerDialer{}, nil
	}
	config, err := peerTLS(settings)
	if err != nil {
		return nil, err
	}
	return &PeerDialer{config: config}, nil
}

// DialContext implements transport.Dialer.
func (d *PeerDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if d.config == nil {
		return d.dialer.DialContext(ctx, network, address)
	}
	dialer := tls.Dialer{NetDialer: &d.dialer, Config: d.config}
	return dialer.DialContext(ctx, network, address)
}

func peerTLS(settings *configv1.PeerSettings) (*tls.Config, error) {
	reloader := &certificateReloader{certificateFile: settings.GetCertificateFile(), keyFile: settings.GetKeyFile()}
	if _, err := reloader.load(); err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(settings.GetAuthorityFile())
	if err != nil {
		return nil, errors.Wrap(err, "setting peers.authority_file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("setting peers.authority_file: no certificate in %s", settings.GetAuthorityFile())
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, RootCAs: pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
		GetCertificate: reloader.serverCertificate, GetClientCertificate: reloader.clientCertificate,
	}, nil
}
