package transport

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Errors of the security settings.
const (
	ErrNotLoopback        = errors.ConstError("plaintext is allowed only on loopback addresses")
	ErrMissingCredentials = errors.ConstError("missing TLS credentials: set --tls-cert, --tls-key and --tls-ca, or --insecure on loopback addresses")
	ErrInvalidCA          = errors.ConstError("CA file contains no certificate")
)

// Security holds the paths of the files for mutual TLS. Changed files are reloaded at
// the next handshake, so certificates can be rotated without a restart.
type Security struct {
	CertFile, KeyFile, CAFile string
	// Insecure allows plaintext on loopback addresses.
	Insecure bool
	// TrustedNetwork allows plaintext on any address. It is meant for a network that
	// only the VMs of the installation can reach, and must be set explicitly.
	TrustedNetwork bool

	mu      sync.Mutex
	loaded  *tls.Config
	modTime time.Time
}

// Validate returns an error if credentials are missing or cannot be loaded.
func (s *Security) Validate() error {
	if s.plaintext() {
		return nil
	}
	if s.CertFile == "" || s.KeyFile == "" || s.CAFile == "" {
		return errors.Trace(ErrMissingCredentials)
	}
	_, err := s.config()
	return errors.Trace(err)
}

func (s *Security) plaintext() bool { return s.Insecure || s.TrustedNetwork }

// checkAddress rejects addresses other than loopback if plaintext is allowed on
// loopback addresses only.
func (s *Security) checkAddress(address string) error {
	if !s.Insecure || s.TrustedNetwork {
		return nil
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Annotatef(err, "address %q", address)
	}
	if !parsed.Addr().IsLoopback() {
		return errors.Annotatef(ErrNotLoopback, "address %q", address)
	}
	return nil
}

// config returns the TLS configuration. It reloads files that have changed, and keeps
// the previous configuration if they cannot be loaded.
func (s *Security) config() (*tls.Config, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	modTime := s.newestModTime()
	if s.loaded != nil && modTime.Equal(s.modTime) {
		return s.loaded, nil
	}
	config, err := s.load()
	if err != nil {
		if s.loaded != nil {
			return s.loaded, nil // during a rotation the key and certificate may not match
		}
		return nil, errors.Trace(err)
	}
	s.loaded, s.modTime = config, modTime
	return config, nil
}

func (s *Security) newestModTime() time.Time {
	var newest time.Time
	for _, name := range []string{s.CertFile, s.KeyFile, s.CAFile} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

func (s *Security) load() (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
	if err != nil {
		return nil, errors.Annotate(err, "load certificate and key")
	}
	pem, err := os.ReadFile(s.CAFile)
	if err != nil {
		return nil, errors.Annotate(err, "read CA file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Annotatef(ErrInvalidCA, "file %q", s.CAFile)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientCAs:    pool,
		RootCAs:      pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}

// serverConn wraps an accepted connection in TLS, unless plaintext is allowed.
func (s *Security) serverConn(conn net.Conn) (net.Conn, error) {
	if s.plaintext() {
		return conn, nil
	}
	config, err := s.config()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return tls.Server(conn, config), nil
}

// clientConn wraps a dialled connection to the address in TLS, unless plaintext is allowed.
func (s *Security) clientConn(conn net.Conn, address string) (net.Conn, error) {
	if s.plaintext() {
		return conn, nil
	}
	config, err := s.config()
	if err != nil {
		return nil, errors.Trace(err)
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	config = config.Clone()
	config.ServerName = host
	return tls.Client(conn, config), nil
}
