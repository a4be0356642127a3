package cmds

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Lifetimes of the generated certificates.
const (
	caLifetime          = 10 * 365 * 24 * time.Hour
	certificateLifetime = 365 * 24 * time.Hour
)

func certNewCommand() command {
	var dir, name, ips string
	return command{
		path: "cert new",
		help: "Create a host certificate and, on first use, the certificate authority.",
		detail: "Writes ca.pem and ca.key if ca.pem does not exist, then <name>.pem and <name>.key signed by that authority. " +
			"Do not copy ca.key to the hosts. An existing host certificate of that name is replaced.",
		args: []argument{{"folder", "The directory of the certificate authority.", &dir}, {"name", "The host's name.", &name},
			{"ips", "The host's IP addresses, separated by commas.", &ips}},
		run: func(env *env) error { return newCert(env, dir, name, strings.Split(ips, ",")) },
	}
}

// keyPair is a certificate with its private key.
type keyPair struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newCert(env *env, dir, name string, ips []string) error {
	template := &x509.Certificate{Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(certificateLifetime),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	for _, text := range ips {
		ip := net.ParseIP(strings.TrimSpace(text))
		if ip == nil {
			return &UsageError{Problem: fmt.Sprintf("%q is not an IP address", text)}
		}
		template.IPAddresses = append(template.IPAddresses, ip)
	}
	ca, err := loadOrCreateCA(dir)
	if err != nil {
		return err
	}
	if _, err := sign(dir, name, template, ca); err != nil {
		return err
	}
	fmt.Fprintf(env.out, "wrote %s.pem and %s.key in %s\n", name, name, dir)
	return nil
}

// loadOrCreateCA loads the certificate authority from dir, or creates it if dir has no
// ca.pem.
func loadOrCreateCA(dir string) (*keyPair, error) {
	cert, err := readPEM(filepath.Join(dir, "ca.pem"))
	if errors.Is(err, fs.ErrNotExist) {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return nil, err
		}
		return sign(dir, "ca", &x509.Certificate{Subject: pkix.Name{CommonName: "plantainbank CA"}, IsCA: true,
			BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign, NotAfter: time.Now().Add(caLifetime)}, nil)
	}
	if err != nil {
		return nil, err
	}
	key, err := readPEM(filepath.Join(dir, "ca.key"))
	if err != nil {
		return nil, err
	}
	p := &keyPair{}
	if p.cert, err = x509.ParseCertificate(cert); err != nil {
		return nil, err
	}
	p.key, err = x509.ParseECPrivateKey(key)
	return p, err
}

// sign creates a key and a certificate signed by ca, and writes both to dir. If ca is nil,
// the certificate is self-signed.
func sign(dir, name string, template *x509.Certificate, ca *keyPair) (*keyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	if template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120)); err != nil {
		return nil, err
	}
	template.NotBefore = time.Now().Add(-time.Hour)
	if ca == nil {
		ca = &keyPair{template, key}
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.cert, &key.PublicKey, ca.key)
	if err != nil {
		return nil, err
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return nil, err
	}
	if err := writePEM(filepath.Join(dir, name+".pem"), "CERTIFICATE", der, 0o644); err != nil {
		return nil, err
	}
	if err := writePEM(filepath.Join(dir, name+".key"), "EC PRIVATE KEY", secret, 0o600); err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return &keyPair{cert, key}, err
}

func writePEM(file, kind string, der []byte, mode fs.FileMode) error {
	return os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), mode)
}

func readPEM(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	b, _ := pem.Decode(data)
	if b == nil {
		return nil, &UsageError{Problem: file + " contains no PEM block"}
	}
	return b.Bytes, nil
}
