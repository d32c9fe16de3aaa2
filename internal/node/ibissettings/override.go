package ibissettings

import "github.com/ibisridge/ibisridge/internal/base/ibisid"

// Override holds the settings given by flags and environment variables. A flag takes precedence over the environment, and
// both over the settings file. Empty fields override nothing.
type Override struct {
	Name            string    `arg:"--name,env:IBISRIDGE_NAME" placeholder:"NAME" help:"name of the node"`
	Region          string    `arg:"--region,env:IBISRIDGE_REGION" placeholder:"REGION" help:"region of the node"`
	Domain          string    `arg:"--domain,env:IBISRIDGE_DOMAIN" placeholder:"DOMAIN" help:"failure domain of the node"`
	ListenCallers   string    `arg:"--listen-callers,env:IBISRIDGE_LISTEN_CALLERS" placeholder:"IP:PORT" help:"address for callers"`
	ListenPeers     string    `arg:"--listen-peers,env:IBISRIDGE_LISTEN_PEERS" placeholder:"IP:PORT" help:"address for other nodes"`
	ListenOperators string    `arg:"--listen-operators,env:IBISRIDGE_LISTEN_OPERATORS" placeholder:"IP:PORT" help:"address for operators"`
	ListenBackend   string    `arg:"--listen-backend,env:IBISRIDGE_LISTEN_BACKEND" placeholder:"IP:PORT" help:"loopback address for the backend server"`
	Platform        string    `arg:"--platform,env:IBISRIDGE_PLATFORM" placeholder:"URL" help:"base URL of the platform's store"`
	Seeds           []string  `arg:"--seed,separate,env:IBISRIDGE_SEEDS" placeholder:"IP:PORT" help:"peer address of another node; may be repeated"`
	LogLevel        string    `arg:"--log-level,env:IBISRIDGE_LOG_LEVEL" placeholder:"LEVEL" help:"debug, info, warn or error"`
	StopTimeout     *Duration `arg:"--stop-timeout,env:IBISRIDGE_STOP_TIMEOUT" placeholder:"SPAN" help:"how long a planned stop may take"`
}

// Apply returns the settings with the non-empty fields of the override applied.
func (o Override) Apply(s Settings) Settings {
	replace(&s.Name, ibisid.NodeName(o.Name))
	replace(&s.Region, ibisid.RegionName(o.Region))
	replace(&s.Domain, ibisid.DomainName(o.Domain))
	replace(&s.Listen.Callers, o.ListenCallers)
	replace(&s.Listen.Peers, o.ListenPeers)
	replace(&s.Listen.Operators, o.ListenOperators)
	replace(&s.Listen.Backend, o.ListenBackend)
	replace(&s.Platform, o.Platform)
	replace(&s.LogLevel, o.LogLevel)
	if len(o.Seeds) > 0 {
		s.Seeds = o.Seeds
	}
	if o.StopTimeout != nil {
		s.Limits.StopTimeout = *o.StopTimeout
	}
	return s
}

func replace[T ~string](field *T, value T) {
	if value != "" {
		*field = value
	}
}
