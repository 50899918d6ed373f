package settings_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/settings"
)

type daemonSettings struct {
	Listen      settings.Address     `default:"127.0.0.1:0"`
	Peers       []settings.Address   `sep:","`
	DataDir     settings.DataDir     `required:""`
	Environment settings.Environment `default:"trial"`
	Region      settings.Name        `default:"bogota"`
	PollPeriod  time.Duration        `default:"1s" min:"100ms" max:"10s"`
	Ratio       float64              `default:"0.5" min:"0" max:"1"`
	Level       string               `default:"info" enum:"info,debug"`
	Token       settings.Name        `default:"a" secret:""`
	Insecure    bool
}

func parse(args ...string) (daemonSettings, error) {
	var s daemonSettings
	var out bytes.Buffer
	_, err := settings.Program{Name: "daemon", Stdout: &out, Stderr: &out}.Parse(&s, args)
	return s, err
}

func TestFlagsAndVariables(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	t.Setenv("PM_POLL_PERIOD", "3s")
	s, err := parse("--data-dir", dir, "--peers", "127.0.0.1:1,[::1]:2", "--insecure")
	is.NoErr(err)
	is.Equal(s.PollPeriod, 3*time.Second)
	is.Equal(string(s.DataDir), dir)
	is.Equal(len(s.Peers), 2)
	is.Equal(s.Listen.Port(), uint16(0))
	is.True(s.Insecure)
	s, err = parse("--data-dir", dir, "--poll-period", "2s")
	is.NoErr(err)
	is.Equal(s.PollPeriod, 2*time.Second) // the flag has precedence over the variable
}

// Guards against errors that do not tell an operator which setting to change and how.
func TestInvalidErrorNamesFlagVariableValueAndAllowed(t *testing.T) {
	cases := []struct{ flag, variable, value, allowed string }{
		{"--listen", "PM_LISTEN", "localhost:80", "host names are not allowed"},
		{"--listen", "PM_LISTEN", "[fe80::1%eth0]:1", "IP address"},
		{"--peers", "PM_PEERS", "127.0.0.1:1,nowhere:2", "IP address"},
		{"--data-dir", "PM_DATA_DIR", "program_test.go", "directory"},
		{"--environment", "PM_ENVIRONMENT", "staging", "trial or production"},
		{"--region", "PM_REGION", "Bogotá", "a-z"},
		{"--poll-period", "PM_POLL_PERIOD", "50ms", "from 100ms to 10s"},
		{"--poll-period", "PM_POLL_PERIOD", "often", "a duration"},
		{"--ratio", "PM_RATIO", "1.5", "from 0 to 1"},
		{"--ratio", "PM_RATIO", "NaN", "from 0 to 1"},
		{"--level", "PM_LEVEL", "loud", "info, debug"},
		{"--insecure", "PM_INSECURE", "perhaps", "true or false"},
	}
	for _, c := range cases {
		t.Run(c.flag+"="+c.value, func(t *testing.T) {
			is := is.New(t)
			check := func(err error) {
				var invalid *settings.InvalidError
				is.True(errors.As(err, &invalid))
				is.Equal(invalid.Flag, c.flag)
				is.Equal(invalid.Variable, c.variable)
				is.Equal(invalid.Value, c.value)
				is.True(strings.Contains(invalid.Allowed, c.allowed))
				is.Equal(settings.ExitCode(err), settings.ExitUsage)
			}
			_, err := parse("--data-dir", "..", c.flag+"="+c.value)
			check(err)
			t.Setenv(c.variable, c.value)
			_, err = parse()
			check(err)
		})
	}
}

// Guards against an error text that contains the value of a secret setting.
func TestSecretValueIsHidden(t *testing.T) {
	is := is.New(t)
	_, err := parse("--data-dir", "..", "--token", "PRIVATE")
	is.True(err != nil)
	is.True(!strings.Contains(err.Error(), "PRIVATE"))
}

func TestMissingUnknownAndHelp(t *testing.T) {
	is := is.New(t)
	_, err := parse()
	is.Equal(err.Error(), "--data-dir (PM_DATA_DIR) is not set; allowed: the path of a readable directory or of a directory to create")
	is.Equal(settings.ExitCode(err), settings.ExitUsage)
	_, err = parse("--data-dir")
	is.True(strings.HasPrefix(err.Error(), "--data-dir (PM_DATA_DIR) is not set"))
	_, err = parse("--data-dir", "..", "--unknown")
	is.True(errors.Is(err, settings.ErrUsage))
	is.Equal(settings.ExitCode(err), settings.ExitUsage)
	_, err = parse("--help")
	is.True(errors.Is(err, settings.ErrHelp))
	is.Equal(settings.ExitCode(err), settings.ExitOK)
	is.Equal(settings.ExitCode(errors.New("other")), settings.ExitFailure)
}
