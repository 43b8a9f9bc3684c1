package tillerd

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"

	"bilberrytiller.example/tiller/daemon"
)

// ErrUnexpectedArguments is wrapped by the error for arguments that are not flags.
var ErrUnexpectedArguments = errors.New("unexpected arguments")

// invalidSettings holds the settings whose values cannot be parsed, by flag.
type invalidSettings map[string]*daemon.SettingError

// parseArgs parses the command line and the environment. go-flags stops at the first
// value that it cannot parse, so parseArgs removes that setting and parses again
// until it has found all of them.
func parseArgs(args []string) (*options, invalidSettings, error) {
	invalid := invalidSettings{}
	for {
		opts := &options{}
		parser := newParser(opts, invalid)
		rest, err := parser.ParseArgs(invalid.without(args))
		setting := rejectedSetting(parser, args, err)
		if setting != nil && invalid[setting.Flag] == nil {
			invalid[setting.Flag] = setting
			continue
		}
		if err == nil && len(rest) > 0 {
			err = fmt.Errorf("%w: %q; see tillerd --help", ErrUnexpectedArguments, rest)
		}
		return opts, invalid, err
	}
}

func newParser(opts *options, invalid invalidSettings) *flags.Parser {
	parser := flags.NewParser(opts, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "tillerd"
	parser.LongDescription = longDescription
	for flag := range invalid {
		parser.FindOptionByLongName(flag).EnvDefaultKey = ""
	}
	return parser
}

// flagPattern finds the name of the flag in an error message of go-flags.
var flagPattern = regexp.MustCompile("flag `--([a-z-]+)")

// rejectedSetting returns the setting whose value the parser rejected, or nil.
func rejectedSetting(parser *flags.Parser, args []string, err error) *daemon.SettingError {
	var flagErr *flags.Error
	if !errors.As(err, &flagErr) || flagErr.Type != flags.ErrMarshal {
		return nil
	}
	match := flagPattern.FindStringSubmatch(flagErr.Message)
	if match == nil {
		return nil
	}
	option := parser.FindOptionByLongName(match[1])
	if option == nil {
		return nil
	}
	value, given := flagValue(match[1], args)
	if !given {
		value = os.Getenv(option.EnvDefaultKey)
	}
	return &daemon.SettingError{
		Flag: match[1], Env: option.EnvDefaultKey, Value: value, Allowed: option.Description, Err: daemon.ErrNotAllowed,
	}
}

// flagValue returns the last value of a flag on the command line.
func flagValue(flag string, args []string) (string, bool) {
	value, given := "", false
	for i, arg := range args {
		if v, ok := strings.CutPrefix(arg, "--"+flag+"="); ok {
			value, given = v, true
		}
		if arg == "--"+flag && i+1 < len(args) {
			value, given = args[i+1], true
		}
	}
	return value, given
}

// without returns the command line without the invalid settings.
func (s invalidSettings) without(args []string) []string {
	var out []string
	for i := 0; i < len(args); i++ {
		name, _, joined := strings.Cut(strings.TrimPrefix(args[i], "--"), "=")
		if s[name] == nil || !strings.HasPrefix(args[i], "--") {
			out = append(out, args[i])
			continue
		}
		if !joined {
			i++
		}
	}
	return out
}

// checkSettings returns the joined errors of all invalid settings.
func checkSettings(opts *options, invalid invalidSettings) error {
	var errs []error
	for _, flag := range slices.Sorted(maps.Keys(invalid)) {
		errs = append(errs, invalid[flag])
	}
	errs = append(errs, opts.ReadSecret())
	errs = append(errs, opts.Settings.Check())
	return errors.Join(errs...)
}
