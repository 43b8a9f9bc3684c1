// Package daemon joins the decision packages to their inputs and outputs and
// runs them as one entry host's daemon.
package daemon

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Settings are the settings of one daemon. Each has a flag and an
// environment variable.
type Settings struct {
	HostID     string `long:"host-id" env:"TILLER_HOST_ID" description:"name of this host, 1 to 40 of a-z, 0-9 and -"`
	DataCentre string `long:"datacentre" env:"TILLER_DATACENTRE" description:"data centre this host stands in"`
	Region     string `long:"region" env:"TILLER_REGION" description:"region of the data centre"`

	CallerListen   string `long:"caller-listen" env:"TILLER_CALLER_LISTEN" default:"127.0.0.1:7400" description:"IP address and port for callers"`
	PeerListen     string `long:"peer-listen" env:"TILLER_PEER_LISTEN" default:"127.0.0.1:7401" description:"IP address and port for other daemons"`
	OperatorListen string `long:"operator-listen" env:"TILLER_OPERATOR_LISTEN" default:"127.0.0.1:7402" description:"IP address and port for operators"`

	CallerAdvertise string `long:"caller-advertise" env:"TILLER_CALLER_ADVERTISE" description:"address that callers are told, if not the one listened on"`
	PeerAdvertise   string `long:"peer-advertise" env:"TILLER_PEER_ADVERTISE" description:"address that other daemons are told, if not the one listened on"`

	Platform string   `long:"platform" env:"TILLER_PLATFORM" description:"base URL of the platform's object API"`
	Seeds    []string `long:"peer" env:"TILLER_PEERS" env-delim:"," description:"peer address to join through while the platform is down; may be repeated"`
	Secret   string   `long:"secret" env:"TILLER_SECRET" description:"secret shared by all daemons and operators, at least 16 characters; prefer the environment variable"`

	LookupTTL   time.Duration `long:"lookup-ttl" env:"TILLER_LOOKUP_TTL" default:"5s" description:"how long callers may keep a look-up, 100ms to 1m"`
	KeyTTL      time.Duration `long:"key-ttl" env:"TILLER_KEY_TTL" default:"15m" description:"how long a key of a non-idempotent request is accepted, 1m to 24h"`
	StopTimeout time.Duration `long:"stop-timeout" env:"TILLER_STOP_TIMEOUT" default:"60s" description:"bound of a graceful stop, 1s to 1h"`

	LogLevel string `long:"log-level" env:"TILLER_LOG_LEVEL" default:"info" description:"least level that is logged: debug, info, warn or error"`
}

// MinSecretBytes is the shortest secret that is accepted.
const MinSecretBytes = 16

var hostIDPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,39}$`)

// Causes wrapped by a SettingError.
var (
	ErrNotSet     = errors.New("not set")
	ErrNotAllowed = errors.New("not allowed")
)

// SettingError names a setting with a wrong value.
type SettingError struct {
	Flag    string
	Env     string
	Value   string
	Allowed string
	Err     error
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("--%s (%s) = %q: %v; want %s", e.Flag, e.Env, e.Value, e.Err, e.Allowed)
}

// Unwrap returns the cause.
func (e *SettingError) Unwrap() error { return e.Err }

// Check returns a *SettingError for each wrong setting, joined.
func (s *Settings) Check() error {
	return errors.Join(
		checkName("host-id", s.HostID),
		checkName("datacentre", s.DataCentre),
		checkName("region", s.Region),
		checkListen("caller-listen", s.CallerListen),
		checkListen("peer-listen", s.PeerListen),
		checkListen("operator-listen", s.OperatorListen),
		checkAdvertise("caller-advertise", s.CallerAdvertise),
		checkAdvertise("peer-advertise", s.PeerAdvertise),
		checkURL("platform", s.Platform),
		checkSeeds(s.Seeds),
		checkSecret(s.Secret),
		checkDuration("lookup-ttl", s.LookupTTL, 100*time.Millisecond, time.Minute),
		checkDuration("key-ttl", s.KeyTTL, time.Minute, 24*time.Hour),
		checkLevel(s.LogLevel),
		checkDuration("stop-timeout", s.StopTimeout, time.Second, time.Hour),
		s.checkStop(),
	)
}

func settingError(flag, value, allowed string, err error) error {
	env := "TILLER_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
	if flag == "peer" {
		env = "TILLER_PEERS"
	}
	return &SettingError{Flag: flag, Env: env, Value: value, Allowed: allowed, Err: err}
}

func checkName(flag, value string) error {
	const allowed = "1 to 40 of a-z, 0-9 and -, not starting with -"
	if value == "" {
		return settingError(flag, value, allowed, ErrNotSet)
	}
	if !hostIDPattern.MatchString(value) {
		return settingError(flag, value, allowed, ErrNotAllowed)
	}
	return nil
}

func checkListen(flag, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return settingError(flag, value, "an IP address and port, such as 10.0.0.1:7400", err)
	}
	return nil
}

func checkAdvertise(flag, value string) error {
	if value == "" {
		return nil
	}
	return checkListen(flag, value)
}

func checkSeeds(seeds []string) error {
	var errs []error
	for _, seed := range seeds {
		errs = append(errs, checkListen("peer", seed))
	}
	return errors.Join(errs...)
}

func checkURL(flag, value string) error {
	const allowed = "a URL, such as http://10.0.0.9:7000"
	if value == "" {
		return settingError(flag, value, allowed, ErrNotSet)
	}
	u, err := url.Parse(value)
	if err != nil {
		return settingError(flag, value, allowed, err)
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return settingError(flag, value, allowed, ErrNotAllowed)
	}
	return nil
}

func checkSecret(value string) error {
	const allowed = "at least 16 characters"
	if value == "" {
		return settingError("secret", "", allowed, ErrNotSet)
	}
	if len(value) < MinSecretBytes {
		return settingError("secret", "***", allowed, ErrNotAllowed)
	}
	return nil
}

func checkLevel(value string) error {
	if slices.Contains([]string{"debug", "info", "warn", "error"}, value) {
		return nil
	}
	return settingError("log-level", value, "debug, info, warn or error", ErrNotAllowed)
}

func checkDuration(flag string, value, least, most time.Duration) error {
	if value < least || value > most {
		return settingError(flag, value.String(), fmt.Sprintf("%v to %v", least, most), ErrNotAllowed)
	}
	return nil
}
