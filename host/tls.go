package host

import (
	"crypto/tls"

	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/settings"
	"github.com/citronscale/citronscale/tlsfiles"
)

// openTLS reads the certificates of the host. It returns nil if the settings
// name none; the settings then allow only loopback listeners.
func openTLS(s settings.TLS, log *event.Logger) (*tlsfiles.Pair, error) {
	if !s.Enabled() {
		return nil, nil
	}
	files := tlsfiles.Files{Certificate: s.Certificate, Key: s.Key, CA: s.CA}
	return tlsfiles.Open(files, tlsfiles.Options{OnReload: func(err error) {
		if err != nil {
			log.Emit(event.CertificatesInvalid).Err(err).Msg("")
			return
		}
		log.Emit(event.CertificatesReloaded).Msg("")
	}})
}

func serverTLS(pair *tlsfiles.Pair) *tls.Config {
	if pair == nil {
		return nil
	}
	return pair.ServerConfig()
}

func clientTLS(pair *tlsfiles.Pair) *tls.Config {
	if pair == nil {
		return nil
	}
	return pair.ClientConfig()
}
