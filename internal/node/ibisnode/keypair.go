package ibisnode

import (
	"crypto/tls"
	"fmt"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/node/ibissettings"
	"github.com/ibisridge/ibisridge/internal/node/ibistls"
)

// keyPairs holds the TLS configurations of a node; a configuration is nil if the settings name no key pair for it.
type keyPairs struct {
	callers    *tls.Config
	peerServer *tls.Config
	peerClient *tls.Config
	reloaders  []*ibistls.Reloader
}

// loadKeyPairs loads the key pairs of the settings; it fails if one is invalid or expired.
func loadKeyPairs(s ibissettings.Settings, timer ibistimer.Service, log *zap.Logger) (*keyPairs, error) {
	k := &keyPairs{}
	if s.CallerTLS != nil {
		// No authority applies here: callers present no certificate, and the certificate presented to them is for the host
		// names that they use, not for ibistls.PeerName.
		pair := *s.CallerTLS
		pair.CA = ""
		reloader, err := k.load("callerTls", pair, timer, log)
		if err != nil {
			return nil, err
		}
		k.callers = reloader.CallerConfig()
	}
	if s.PeerTLS != nil {
		reloader, err := k.load("peerTls", *s.PeerTLS, timer, log)
		if err != nil {
			k.stop()
			return nil, err
		}
		k.peerServer = reloader.PeerServerConfig()
		k.peerClient = reloader.PeerClientConfig()
	}
	return k, nil
}

func (k *keyPairs) load(name string, pair ibissettings.KeyPair, timer ibistimer.Service, log *zap.Logger) (*ibistls.Reloader, error) {
	reloader, err := ibistls.NewReloader(timer, ibistls.Files{
		Cert: pair.Cert,
		Key:  pair.Key,
		CA:   pair.CA,
	}, func(err error) {
		if err != nil {
			log.Error("replaced key pair rejected; the previous one stays in use", zap.String("setting", name), zap.Error(err))
			return
		}
		log.Info("key pair replaced", zap.String("setting", name))
	})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	k.reloaders = append(k.reloaders, reloader)
	return reloader, nil
}

func (k *keyPairs) stop() {
	for _, r := range k.reloaders {
		r.Stop()
	}
}
