package transport_test

import (
	"context"
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
	"testing/synctest"
	"time"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/fleet/transport"
	"github.com/sardinedock/sardinedock/schema/settingspb"
)

// authority signs the certificates of one fleet.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t testing.TB) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{cert, key}
}

// issue writes a new certificate, its key and the authority's certificate to files.
func (a *authority) issue(t testing.TB) *settingspb.Tls {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "entry-1"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	return &settingspb.Tls{
		CertFile: writePEM(t, dir, "cert.pem", "CERTIFICATE", der),
		KeyFile:  writePEM(t, dir, "key.pem", "EC PRIVATE KEY", keyDER),
		CaFile:   writePEM(t, dir, "ca.pem", "CERTIFICATE", a.cert.Raw),
	}
}

func writePEM(t testing.TB, dir, name, block string, der []byte) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: block, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func loadKeys(t testing.TB, files *settingspb.Tls) *transport.Keys {
	t.Helper()
	keys, err := transport.LoadKeys(files)
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

// An attacker on the network without a certificate of the fleet's authority calls an
// instance, or answers in place of one. Without mutual authentication the attacker
// could read records and grants, and redirect requests.
func TestWrongCertificateIsRefused(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	e := &echo{}
	address := listen(t, e, loadKeys(t, ours.issue(t)))
	for name, c := range map[string]struct {
		keys *transport.Keys
		want fault.Kind
	}{
		"same authority":  {loadKeys(t, ours.issue(t)), ""},
		"other authority": {loadKeys(t, theirs.issue(t)), fault.Unavailable},
		"no certificate":  {nil, fault.Unavailable},
	} {
		client := transport.NewClient(transport.DialTCP, c.keys, &transport.Traffic{})
		_, err := client.Ask(context.Background(), address, 5*time.Second, ask(fleetName))
		client.Close()
		if c.want == "" && err != nil || c.want != "" && !fault.Is(err, c.want) {
			t.Errorf("%s: got %v, want kind %q", name, err, c.want)
		}
	}
	if n := e.calls.Load(); n != 1 {
		t.Fatalf("%d calls reached the handler, want 1", n)
	}
}

// Certificates are replaced in their files before they expire, while instances run.
// An instance that kept the old ones would be refused by all its peers once they
// expire.
func TestReplacedKeysAreReloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ours, theirs := newAuthority(t), newAuthority(t)
		server, err := transport.NewServer(fleetName, &echo{}, loadKeys(t, ours.issue(t)), &transport.Traffic{})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		p := &pipes{ln: &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}}
		go server.Serve(ctx, p.ln)
		files := theirs.issue(t)
		client := transport.NewClient(p.dial, loadKeys(t, files), &transport.Traffic{})
		if _, err := client.Ask(ctx, "peer", time.Second, ask(fleetName)); err == nil {
			t.Fatal("a certificate of another authority was accepted")
		}
		fresh := ours.issue(t)
		for from, to := range map[string]string{
			fresh.GetCertFile(): files.GetCertFile(), fresh.GetKeyFile(): files.GetKeyFile(), fresh.GetCaFile(): files.GetCaFile(),
		} {
			if err := os.Rename(from, to); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(15 * time.Second)
		if _, err := client.Ask(ctx, "peer", time.Second, ask(fleetName)); err != nil {
			t.Fatal(err)
		}
		client.Close()
		cancel()
		synctest.Wait()
	})
}

// BenchmarkFirstCall measures a call that has to open its connection, with and
// without TLS. The bytes of both directions are counted.
func BenchmarkFirstCall(b *testing.B) {
	fleetAuthority := newAuthority(b)
	for name, keys := range map[string]*transport.Keys{"plain": nil, "tls": loadKeys(b, fleetAuthority.issue(b))} {
		b.Run(name, func(b *testing.B) {
			address := listen(b, &echo{}, keys)
			traffic := &transport.Traffic{}
			for b.Loop() {
				client := transport.NewClient(transport.DialTCP, keys, traffic)
				if _, err := client.Ask(context.Background(), address, 5*time.Second, ask(fleetName)); err != nil {
					b.Fatal(err)
				}
				client.Close()
			}
			b.ReportMetric(float64(traffic.Sent.Load()+traffic.Received.Load())/float64(b.N), "B/call")
		})
	}
}
