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

// ErrUnexpectedArguments is wrapped by the error for arguments that are no flags.
var ErrUnexpectedArguments = errors.New("unexpected arguments")

// wrongValues holds the settings whose values cannot be read, by flag.
type wrongValues map[string]*daemon.SettingError

// parse reads the command line and the environment. A value that cannot be
// read is set aside, so that all of them are found.
func parse(args []string) (*options, wrongValues, error) {
	wrong := wrongValues{}
	for {
		opts := &options{}
		parser := newParser(opts, wrong)
		rest, err := parser.ParseArgs(wrong.without(args))
		setting := unreadable(parser, args, err)
		if setting != nil && wrong[setting.Flag] == nil {
			wrong[setting.Flag] = setting
			continue
		}
		if err == nil && len(rest) > 0 {
			err = fmt.Errorf("%w: %q", ErrUnexpectedArguments, rest)
		}
		return opts, wrong, err
	}
}

func newParser(opts *options, wrong wrongValues) *flags.Parser {
	parser := flags.NewParser(opts, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "tillerd"
	parser.LongDescription = longDescription
	for flag := range wrong {
		parser.FindOptionByLongName(flag).EnvDefaultKey = ""
	}
	return parser
}

var flagPattern = regexp.MustCompile("flag `--([a-z-]+)")

// unreadable returns the setting that a parser could not read, or nil.
func unreadable(parser *flags.Parser, args []string, err error) *daemon.SettingError {
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
	value, given := valueOf(match[1], args)
	if !given {
		value = os.Getenv(option.EnvDefaultKey)
	}
	return &daemon.SettingError{
		Flag: match[1], Env: option.EnvDefaultKey, Value: value, Allowed: option.Description, Err: daemon.ErrNotAllowed,
	}
}

// valueOf returns the last value of a flag on a command line.
func valueOf(flag string, args []string) (string, bool) {
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

// without returns a command line without the settings that were set aside.
func (w wrongValues) without(args []string) []string {
	var out []string
	for i := 0; i < len(args); i++ {
		name, _, joined := strings.Cut(strings.TrimPrefix(args[i], "--"), "=")
		if w[name] == nil || !strings.HasPrefix(args[i], "--") {
			out = append(out, args[i])
			continue
		}
		if !joined {
			i++
		}
	}
	return out
}

// check returns an error for each wrong setting, joined.
func check(opts *options, wrong wrongValues) error {
	var errs []error
	for _, flag := range slices.Sorted(maps.Keys(wrong)) {
		errs = append(errs, wrong[flag])
	}
	errs = append(errs, opts.ReadSecret())
	errs = append(errs, opts.Settings.Check())
	return errors.Join(errs...)
}
