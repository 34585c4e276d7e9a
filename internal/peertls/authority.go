package peertls

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// Authority is a certificate authority for tests and trials. Its private key is never stored, so that it can issue
// certificates only while the process runs.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority creates an authority whose certificate is valid between two times.
func NewAuthority(from, to time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	t := template("whinrudder test authority", from, to)
	t.IsCA, t.BasicConstraintsValid, t.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return &Authority{cert, key}, err
}

// template returns a certificate template with a random serial number.
func template(name string, from, to time.Time) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	return &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: name}, NotBefore: from, NotAfter: to}
}

// Issue writes a certificate for the DNS name and its private key as FILE.pem and FILE.key in dir, and the authority's
// certificate as authority.pem.
func (a *Authority) Issue(dir, file, name string, from, to time.Time) (Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, err
	}
	t := template(file, from, to)
	t.DNSNames, t.KeyUsage = []string{name}, x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return Files{}, err
	}
	privateKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Files{}, err
	}
	f := Files{filepath.Join(dir, file+".pem"), filepath.Join(dir, file+".key"),
		filepath.Join(dir, "authority.pem"), name}
	for _, p := range []struct {
		path, kind string
		der        []byte
	}{{f.Cert, "CERTIFICATE", der}, {f.Key, "PRIVATE KEY", privateKey}, {f.Authority, "CERTIFICATE", a.cert.Raw}} {
		if err := os.WriteFile(p.path, pem.EncodeToMemory(&pem.Block{Type: p.kind, Bytes: p.der}), 0o600); err != nil {
			return Files{}, err
		}
	}
	return f, nil
}

// GenerateFiles creates an authority and writes a certificate for each node to dir. All are valid for a number of days
// and have the same DNS name.
func GenerateFiles(dir string, nodes []string, name string, days int) error {
	if len(nodes) == 0 || days < 1 || days > 3650 {
		return fmt.Errorf("keys: want at least one node and 1 to 3650 days, got %d nodes, %d days", len(nodes), days)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	from := time.Now().Add(-time.Minute)
	to := from.AddDate(0, 0, days)
	a, err := NewAuthority(from, to)
	if err != nil {
		return err
	}
	for _, n := range nodes {
		if n != filepath.Base(n) || n == "authority" || n == "." {
			return fmt.Errorf("keys: %q can't be the name of a node's files", n)
		}
		if _, err := a.Issue(dir, n, name, from, to); err != nil {
			return err
		}
	}
	return nil
}
