package settings

import "github.com/juju/errors"

// Environment is one of the two environments of a deployment.
type Environment string

// Environments of a deployment.
const (
	Trial      Environment = "trial"
	Production Environment = "production"
)

// UnmarshalText accepts the names of the two environments.
func (e *Environment) UnmarshalText(text []byte) error {
	switch parsed := Environment(text); parsed {
	case Trial, Production:
		*e = parsed
		return nil
	default:
		return errors.NotValidf("environment %q", text)
	}
}

// Allowed describes the accepted values.
func (Environment) Allowed() string {
	return "trial or production"
}
