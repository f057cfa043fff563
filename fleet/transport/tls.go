package transport

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/schema/settingspb"
)

// reloadEvery bounds how often the key files are looked at. Certificates are
// replaced hours before the old ones end, so that ten seconds are early enough.
const reloadEvery = 10 * time.Second

// Keys holds the certificate, key and authority of mutual TLS. The files are
// read again when they change, so that certificates can be replaced without a
// restart. All methods may be called by any goroutine; they read files at most
// once in ten seconds.
type Keys struct {
	files *settingspb.Tls

	mu      sync.Mutex
	looked  time.Time
	changed [3]time.Time
	cert    *tls.Certificate
	roots   *x509.CertPool
}

// LoadKeys reads the files. It returns nil without an error where the settings
// name none: instances then talk over plain TCP.
func LoadKeys(files *settingspb.Tls) (*Keys, error) {
	if files.GetCertFile() == "" {
		return nil, nil
	}
	k := &Keys{files: files}
	changed, err := k.modified()
	if err != nil {
		return nil, err
	}
	if err := k.read(changed); err != nil {
		return nil, err
	}
	k.looked = time.Now()
	return k, nil
}

// current returns the newest keys that could be read. Files that are half
// written leave the last good keys in use; the counter tells of it.
func (k *Keys) current() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.looked) < reloadEvery {
		return k.cert, k.roots
	}
	k.looked = time.Now()
	changed, err := k.modified()
	if err == nil && changed != k.changed {
		err = k.read(changed)
	}
	if err != nil {
		keyReloadFailures.Inc()
	}
	return k.cert, k.roots
}

func (k *Keys) modified() ([3]time.Time, error) {
	var changed [3]time.Time
	for i, name := range []string{k.files.GetCertFile(), k.files.GetKeyFile(), k.files.GetCaFile()} {
		info, err := os.Stat(name)
		if err != nil {
			return changed, fault.Wrap(err, fault.Invalid, "name files that can be read in fleet_tls", "look at the TLS files")
		}
		changed[i] = info.ModTime()
	}
	return changed, nil
}

func (k *Keys) read(changed [3]time.Time) error {
	cert, err := tls.LoadX509KeyPair(k.files.GetCertFile(), k.files.GetKeyFile())
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "write a matching pair of PEM files", "read the TLS certificate and key")
	}
	pem, err := os.ReadFile(k.files.GetCaFile())
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "name a file that can be read in fleet_tls.ca_file", "read the TLS authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return fault.New(fault.Invalid, "write the authority's certificate as PEM", "no certificate in %s", k.files.GetCaFile())
	}
	k.cert, k.roots, k.changed = &cert, roots, changed
	return nil
}

// config serves both ends. The peer is known by the fleet's authority alone:
// instances come and go with addresses that no certificate could name ahead.
func (k *Keys) config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := k.current()
			return cert, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := k.current()
			return cert, nil
		},
		ClientAuth: tls.RequireAnyClientCert,
		// The library's own check wants a host name. VerifyConnection below
		// replaces it and checks the chain against the newest authority.
		InsecureSkipVerify:     true,
		SessionTicketsDisabled: true,
		VerifyConnection:       k.verify,
	}
}

func (k *Keys) verify(state tls.ConnectionState) error {
	_, roots := k.current()
	if len(state.PeerCertificates) == 0 {
		refusedCertificate.Inc()
		return fault.New(fault.Unauthorized, "give the peer a certificate of the fleet's authority", "the peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		refusedCertificate.Inc()
		return fault.Wrap(err, fault.Unauthorized, "give the peer a certificate of the fleet's authority", "check the peer's certificate")
	}
	return nil
}
