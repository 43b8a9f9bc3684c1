package daemon

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Settings holds the settings of one daemon. Each has a flag and an
// environment variable.
type Settings struct {
	HostSettings      `group:"This host"`
	ListenSettings    `group:"Listeners"`
	FleetSettings     `group:"Platform and peers"`
	BehaviourSettings `group:"Behaviour"`
}

// HostSettings identifies the host that the daemon runs on.
type HostSettings struct {
	HostID     string `long:"host-id" env:"TILLER_HOST_ID" value-name:"NAME" description:"name of this host: 1 to 40 characters from a-z, 0-9 and -, not starting with -"`
	DataCentre string `long:"datacentre" env:"TILLER_DATACENTRE" value-name:"NAME" description:"data centre of this host"`
	Region     string `long:"region" env:"TILLER_REGION" value-name:"NAME" description:"region of the data centre"`
}

// ListenSettings holds the addresses that the daemon listens on and
// advertises.
type ListenSettings struct {
	CallerListen    string `long:"caller-listen" env:"TILLER_CALLER_LISTEN" value-name:"IP:PORT" default:"127.0.0.1:7400" description:"address on which callers are served"`
	PeerListen      string `long:"peer-listen" env:"TILLER_PEER_LISTEN" value-name:"IP:PORT" default:"127.0.0.1:7401" description:"address on which other daemons are served"`
	OperatorListen  string `long:"operator-listen" env:"TILLER_OPERATOR_LISTEN" value-name:"IP:PORT" default:"127.0.0.1:7402" description:"address on which operators are served"`
	CallerAdvertise string `long:"caller-advertise" env:"TILLER_CALLER_ADVERTISE" value-name:"IP:PORT" description:"address that callers are given, if not --caller-listen"`
	PeerAdvertise   string `long:"peer-advertise" env:"TILLER_PEER_ADVERTISE" value-name:"IP:PORT" description:"address that other daemons are given, if not --peer-listen"`
}

// FleetSettings says how the daemon reaches the platform and its peers.
type FleetSettings struct {
	Platform   string   `long:"platform" env:"TILLER_PLATFORM" value-name:"URL" description:"base URL of the platform's object API"`
	Seeds      []string `long:"peer" env:"TILLER_PEERS" env-delim:"," value-name:"IP:PORT" description:"address of a peer to join through while the platform is down; may be repeated"`
	Secret     string   `long:"secret" env:"TILLER_SECRET" value-name:"SECRET" default-mask:"-" description:"secret shared by all daemons and operators, at least 16 bytes; prefer the environment variable or --secret-file"`
	SecretFile string   `long:"secret-file" env:"TILLER_SECRET_FILE" value-name:"PATH" description:"file that contains the secret, instead of --secret"`
}

// BehaviourSettings holds time limits and the log level.
type BehaviourSettings struct {
	LookupTTL   time.Duration `long:"lookup-ttl" env:"TILLER_LOOKUP_TTL" value-name:"DURATION" default:"5s" description:"time for which callers may use a look-up, 100ms to 1m"`
	KeyTTL      time.Duration `long:"key-ttl" env:"TILLER_KEY_TTL" value-name:"DURATION" default:"15m" description:"time for which a key of a non-idempotent request is accepted, 1m to 24h"`
	StopTimeout time.Duration `long:"stop-timeout" env:"TILLER_STOP_TIMEOUT" value-name:"DURATION" default:"60s" description:"maximum duration of a graceful stop, 1s to 1h and over a second more than --lookup-ttl"`
	LogLevel    string        `long:"log-level" env:"TILLER_LOG_LEVEL" value-name:"LEVEL" default:"info" description:"lowest level that is logged: debug, info, warn or error"`
}

// MinSecretBytes is the minimum length of the secret.
const MinSecretBytes = 16

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,39}$`)

// Causes that a SettingError wraps.
var (
	ErrNotSet     = errors.New("not set")
	ErrNotAllowed = errors.New("not allowed")
)

// SettingError reports a setting with an invalid value.
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

// Check returns the joined *SettingErrors of all invalid settings, or nil.
func (s *Settings) Check() error {
	return errors.Join(
		checkName("host-id", s.HostID),
		checkName("datacentre", s.DataCentre),
		checkName("region", s.Region),
		checkAddress("caller-listen", s.CallerListen),
		checkAddress("peer-listen", s.PeerListen),
		checkAddress("operator-listen", s.OperatorListen),
		checkOptionalAddress("caller-advertise", s.CallerAdvertise),
		checkOptionalAddress("peer-advertise", s.PeerAdvertise),
		checkURL("platform", s.Platform),
		checkSeeds(s.Seeds),
		checkSecret(s.Secret),
		checkDuration("lookup-ttl", s.LookupTTL, 100*time.Millisecond, time.Minute),
		checkDuration("key-ttl", s.KeyTTL, time.Minute, 24*time.Hour),
		checkLogLevel(s.LogLevel),
		s.checkStopTimeout(),
	)
}

// ReadSecret reads the secret from the secret file, if one is set.
func (s *Settings) ReadSecret() error {
	const allowed = "a readable file, and --secret not set"
	if s.SecretFile == "" {
		return nil
	}
	if s.Secret != "" {
		return newSettingError("secret-file", s.SecretFile, allowed, ErrNotAllowed)
	}
	data, err := os.ReadFile(s.SecretFile)
	if err != nil {
		return newSettingError("secret-file", s.SecretFile, allowed, err)
	}
	s.Secret = strings.TrimSpace(string(data))
	return nil
}

// checkStopTimeout checks the range of the stop timeout, and that it exceeds the
// time for which callers may use a look-up, because callers are served until
// their look-ups have expired. The margin is the time until all daemons know
// that this one is leaving and no longer name it in look-ups.
func (s *Settings) checkStopTimeout() error {
	if err := checkDuration("stop-timeout", s.StopTimeout, time.Second, time.Hour); err != nil {
		return err
	}
	if s.StopTimeout <= s.LookupTTL+leavePropagationTime {
		allowed := fmt.Sprintf("more than --lookup-ttl (%v) plus %v", s.LookupTTL, leavePropagationTime)
		return newSettingError("stop-timeout", s.StopTimeout.String(), allowed, ErrNotAllowed)
	}
	return nil
}

func newSettingError(flag, value, allowed string, err error) error {
	env := "TILLER_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
	if flag == "peer" {
		env = "TILLER_PEERS"
	}
	return &SettingError{Flag: flag, Env: env, Value: value, Allowed: allowed, Err: err}
}

func checkName(flag, value string) error {
	const allowed = "1 to 40 characters from a-z, 0-9 and -, not starting with -"
	if value == "" {
		return newSettingError(flag, value, allowed, ErrNotSet)
	}
	if !namePattern.MatchString(value) {
		return newSettingError(flag, value, allowed, ErrNotAllowed)
	}
	return nil
}

func checkAddress(flag, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return newSettingError(flag, value, "an IP address and port, such as 10.0.0.1:7400", err)
	}
	return nil
}

func checkOptionalAddress(flag, value string) error {
	if value == "" {
		return nil
	}
	return checkAddress(flag, value)
}

func checkSeeds(seeds []string) error {
	var errs []error
	for _, seed := range seeds {
		errs = append(errs, checkAddress("peer", seed))
	}
	return errors.Join(errs...)
}

func checkURL(flag, value string) error {
	const allowed = "an http or https URL, such as http://10.0.0.9:7000"
	if value == "" {
		return newSettingError(flag, value, allowed, ErrNotSet)
	}
	u, err := url.Parse(value)
	if err != nil {
		return newSettingError(flag, value, allowed, err)
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return newSettingError(flag, value, allowed, ErrNotAllowed)
	}
	return nil
}

func checkSecret(value string) error {
	const allowed = "at least 16 bytes"
	if value == "" {
		return newSettingError("secret", "", allowed, ErrNotSet)
	}
	if len(value) < MinSecretBytes {
		return newSettingError("secret", "***", allowed, ErrNotAllowed)
	}
	return nil
}

func checkLogLevel(value string) error {
	if slices.Contains([]string{"debug", "info", "warn", "error"}, value) {
		return nil
	}
	return newSettingError("log-level", value, "debug, info, warn or error", ErrNotAllowed)
}

func checkDuration(flag string, value, lowest, highest time.Duration) error {
	if value < lowest || value > highest {
		return newSettingError(flag, value.String(), fmt.Sprintf("%v to %v", lowest, highest), ErrNotAllowed)
	}
	return nil
}
