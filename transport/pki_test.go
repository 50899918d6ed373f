package transport_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"pistachiomount.example/pistachiomount/transport"
)

// testCA is a certificate authority for tests, whose files are in dir.
type testCA struct {
	t    testing.TB
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t testing.TB) *testCA {
	a := &testCA{t: t, dir: t.TempDir()}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign,
	}
	a.key = a.newKey()
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	a.must(err)
	a.cert, err = x509.ParseCertificate(der)
	a.must(err)
	a.writePEM("ca.pem", "CERTIFICATE", der)
	return a
}

// security returns security settings with a new certificate of the role.
func (a *testCA) security(role string) *transport.Security {
	key := a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: role, OrganizationalUnit: []string{role}},
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	a.must(err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	a.must(err)
	return &transport.Security{
		CertFile: a.writePEM(role+".pem", "CERTIFICATE", der),
		KeyFile:  a.writePEM(role+".key", "EC PRIVATE KEY", keyDER),
		CAFile:   filepath.Join(a.dir, "ca.pem"),
	}
}

func (a *testCA) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.must(err)
	return key
}

func (a *testCA) writePEM(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	a.must(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

func (a *testCA) must(err error) {
	a.t.Helper()
	if err != nil {
		a.t.Fatal(err)
	}
}
