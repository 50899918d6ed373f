package settings

import (
	"regexp"

	"github.com/juju/errors"
)

// namePattern must equal the pattern of names in package document, so that a
// region in the settings can match a region of a document.
var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Name is the name of a region, failure domain, service or VM.
type Name string

// UnmarshalText accepts the names that are valid in documents.
func (n *Name) UnmarshalText(text []byte) error {
	if !namePattern.Match(text) {
		return errors.NotValidf("name %q", text)
	}
	*n = Name(text)
	return nil
}

// Allowed describes the accepted values.
func (Name) Allowed() string {
	return "up to 63 of a-z, 0-9 and '-', starting with a letter"
}
