package settings

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"time"

	"github.com/plantainbank/plantainbank/pkg/version/strictjson"
)

// Server returns the TLS configuration of a listener, or nil if TLS is off. If CA
// is set, clients must present a certificate signed by it.
func (t TLS) Server() (*tls.Config, error) {
	if t.Off {
		return nil, nil
	}
	cfg, err := t.load()
	if err != nil {
		return nil, err
	}
	if cfg.RootCAs != nil {
		cfg.ClientCAs = cfg.RootCAs
		cfg.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return cfg, nil
}

func (t TLS) load() (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, &strictjson.FieldError{Field: "tls.cert", Problem: "can not be loaded: " + err.Error()}
	}
	cfg := &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}
	if t.CA == "" {
		return cfg, nil
	}
	pem, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, &strictjson.FieldError{Field: "tls.ca", Problem: "can not be read: " + err.Error()}
	}
	cfg.RootCAs = x509.NewCertPool()
	if !cfg.RootCAs.AppendCertsFromPEM(pem) {
		return nil, &strictjson.FieldError{Field: "tls.ca", Problem: "holds no certificate"}
	}
	return cfg, nil
}

// Client returns an HTTP client for calls to the system's own processes, and the
// URL scheme of their addresses, including "://".
func (t TLS) Client() (client *http.Client, scheme string, err error) {
	tr := &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}
	if t.Off {
		return &http.Client{Transport: tr}, "http://", nil
	}
	if tr.TLSClientConfig, err = t.load(); err != nil {
		return nil, "", err
	}
	return &http.Client{Transport: tr}, "https://", nil
}
