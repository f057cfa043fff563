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

// reloadInterval is the minimum time between checks of the key files for changes.
// Certificates are replaced hours before the old ones expire, so that ten seconds
// are soon enough.
const reloadInterval = 10 * time.Second

// Keys holds the certificate, private key and certificate authority for mutual TLS.
// The files are reloaded when they change, so that certificates can be replaced
// without a restart. Keys is safe for concurrent use. The files are read at most
// once every reloadInterval.
type Keys struct {
	files *settingspb.Tls

	mu        sync.Mutex
	checkedAt time.Time
	modTimes  [3]time.Time // of the certificate, key and authority files
	cert      *tls.Certificate
	roots     *x509.CertPool
}

// LoadKeys reads the files. It returns nil and no error if the settings name no
// certificate file; instances then use plain TCP.
func LoadKeys(files *settingspb.Tls) (*Keys, error) {
	if files.GetCertFile() == "" {
		return nil, nil
	}
	k := &Keys{files: files}
	modTimes, err := k.statFiles()
	if err != nil {
		return nil, err
	}
	if err := k.load(modTimes); err != nil {
		return nil, err
	}
	k.checkedAt = time.Now()
	return k, nil
}

// current returns the keys, reloaded if the files changed. If that fails, as with
// partly written files, the previous keys stay in use and keyReloadFailures counts
// the failure.
func (k *Keys) current() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.checkedAt) < reloadInterval {
		return k.cert, k.roots
	}
	k.checkedAt = time.Now()
	modTimes, err := k.statFiles()
	if err == nil && modTimes != k.modTimes {
		err = k.load(modTimes)
	}
	if err != nil {
		keyReloadFailures.Inc()
	}
	return k.cert, k.roots
}

// statFiles returns the modification times of the certificate, key and authority
// files.
func (k *Keys) statFiles() ([3]time.Time, error) {
	var modTimes [3]time.Time
	for i, name := range []string{k.files.GetCertFile(), k.files.GetKeyFile(), k.files.GetCaFile()} {
		info, err := os.Stat(name)
		if err != nil {
			return modTimes, fault.Wrap(err, fault.Invalid, "name files that can be read in fleet_tls", "stat the TLS files")
		}
		modTimes[i] = info.ModTime()
	}
	return modTimes, nil
}

// load reads the files, whose modification times are given.
func (k *Keys) load(modTimes [3]time.Time) error {
	cert, err := tls.LoadX509KeyPair(k.files.GetCertFile(), k.files.GetKeyFile())
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "write a matching pair of PEM files", "read the TLS certificate and key")
	}
	pem, err := os.ReadFile(k.files.GetCaFile())
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "name a file that can be read in fleet_tls.ca_file", "read the TLS certificate authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return fault.New(fault.Invalid, "write the authority's certificate as PEM", "no certificate in %s", k.files.GetCaFile())
	}
	k.cert, k.roots, k.modTimes = &cert, roots, modTimes
	return nil
}

// config returns the configuration for both client and server. A peer is
// authenticated only by the fleet's certificate authority: instances come and go
// with addresses that no certificate could name in advance.
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
		// The standard verification requires a host name. VerifyConnection
		// replaces it and verifies the chain against the current authority.
		InsecureSkipVerify:     true,
		SessionTicketsDisabled: true,
		VerifyConnection:       k.verify,
	}
}

// verify checks that the peer's certificate was signed by the current authority.
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
