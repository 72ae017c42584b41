package transport

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/base64"
	"math/big"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	fleetKeyBytes = 32
	protocolName  = "mastichollow/1"
	authorityName = "mastichollow fleet"
)

// Certificates effectively never expire. A process generates its own at start and keeps
// it in memory only, and a step of a clock must not change whether a peer is accepted.
var (
	notBefore = time.Date(2000, time.January, 1, 0, 0, 0, 0, time.UTC)
	notAfter  = time.Date(9999, time.December, 31, 0, 0, 0, 0, time.UTC)
)

// Keys are the fleet's keys. The first key signs the certificate of this process. The
// certificate of a peer may be signed by any of them, so that keys can be rotated one
// process at a time.
type Keys struct {
	authorities []fleetAuthority
}

// fleetAuthority is the certificate authority that is derived from one key.
type fleetAuthority struct {
	key  ed25519.PrivateKey
	cert *x509.Certificate
}

// NewKey returns a new random key in base64.
func NewKey() string {
	key := make([]byte, fleetKeyBytes)
	_, _ = rand.Read(key) // never fails
	return base64.StdEncoding.EncodeToString(key)
}

// ParseKeys parses comma-separated keys in base64. The first one is the current key.
func ParseKeys(s string) (*Keys, error) {
	keys := new(Keys)
	for i, field := range strings.Split(s, ",") {
		secret, err := base64.StdEncoding.DecodeString(strings.TrimSpace(field))
		if err != nil {
			return nil, errors.Newf("fleet key %d is not base64", i+1)
		}
		if len(secret) != fleetKeyBytes {
			return nil, errors.Newf("fleet key %d has %d bytes, want %d", i+1, len(secret), fleetKeyBytes)
		}
		a, err := newAuthority(secret)
		if err != nil {
			return nil, errors.Wrapf(err, "fleet key %d", i+1)
		}
		keys.authorities = append(keys.authorities, a)
	}
	return keys, nil
}

// newAuthority derives the authority of a key. All processes derive the same one.
func newAuthority(secret []byte) (fleetAuthority, error) {
	seed := sha256.Sum256(append([]byte(authorityName), secret...))
	key := ed25519.NewKeyFromSeed(seed[:])
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: authorityName},
		NotBefore:             notBefore,
		NotAfter:              notAfter,
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return fleetAuthority{}, errors.Wrap(err, "creating the authority's certificate")
	}
	cert, err := x509.ParseCertificate(der)
	return fleetAuthority{key: key, cert: cert}, errors.Wrap(err, "parsing the authority's certificate")
}

// certificate generates the certificate of this process, signed by the first key.
func (k *Keys) certificate(self Peer) (tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "generating a key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject: pkix.Name{
			CommonName:         self.Member,
			OrganizationalUnit: []string{self.Domain},
			Locality:           []string{self.Region},
		},
		NotBefore:   notBefore,
		NotAfter:    notAfter,
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	signer := k.authorities[0]
	der, err := x509.CreateCertificate(rand.Reader, template, signer.cert, public, signer.key)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "signing the certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}

// verify checks that the peer's certificate is signed by one of the keys.
func (k *Keys) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.Wrap(ErrPeerRefused, "no certificate")
	}
	leaf := state.PeerCertificates[0]
	for _, a := range k.authorities {
		if leaf.CheckSignatureFrom(a.cert) == nil {
			return nil
		}
	}
	return errors.Wrapf(ErrPeerRefused, "certificate of %q", leaf.Subject.CommonName)
}

// tlsConfig returns the TLS configuration for dialling and listening. Sessions are not
// resumed, so that the certificate is verified for every connection. onRefused is called
// for each peer that is refused.
func (k *Keys) tlsConfig(self Peer, onRefused func(error)) (*tls.Config, error) {
	cert, err := k.certificate(self)
	if err != nil {
		return nil, err
	}
	verify := func(state tls.ConnectionState) error {
		err := k.verify(state)
		if err != nil {
			onRefused(err)
		}
		return err
	}
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{cert},
		ClientAuth:             tls.RequireAnyClientCert,
		NextProtos:             []string{protocolName},
		InsecureSkipVerify:     true, // verify replaces the check of host names
		VerifyConnection:       verify,
		SessionTicketsDisabled: true,
	}, nil
}

// peerOf returns the peer that is named in a verified certificate.
func peerOf(state tls.ConnectionState, addr string) Peer {
	subject := state.PeerCertificates[0].Subject
	return Peer{
		Member: subject.CommonName,
		Domain: firstOrEmpty(subject.OrganizationalUnit),
		Region: firstOrEmpty(subject.Locality),
		Addr:   addr,
	}
}

func firstOrEmpty(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[0]
}
