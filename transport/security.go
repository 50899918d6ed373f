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
	ErrMissingCredentials = errors.ConstError("set --tls-cert, --tls-key and --tls-ca, or --insecure on loopback addresses")
	ErrInvalidCA          = errors.ConstError("the authority file holds no certificate")
)

// Security holds the files of mutual TLS. Files that changed are read again at
// the next handshake, so certificates rotate without a restart.
type Security struct {
	CertFile, KeyFile, CAFile string
	// Insecure allows plaintext on loopback addresses.
	Insecure bool
	// TrustedNetwork allows plaintext on any address, for a network that only the
	// VMs of the installation can reach. It must be chosen expressly.
	TrustedNetwork bool

	mu      sync.Mutex
	loaded  *tls.Config
	modTime time.Time
}

// Validate reports settings that cannot work.
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

// checkAddress refuses plaintext to or on addresses beyond this machine.
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

// config returns the TLS settings of the current files.
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
			return s.loaded, nil // a rotation in progress may leave files that do not match
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
		return nil, errors.Annotate(err, "certificate and key")
	}
	pem, err := os.ReadFile(s.CAFile)
	if err != nil {
		return nil, errors.Annotate(err, "authority")
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

// serverConn wraps an accepted connection.
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

// clientConn wraps a dialled connection to the address.
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
