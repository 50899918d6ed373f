package inventory

import (
	"net/netip"
	"regexp"

	"github.com/juju/errors"
)

// maxKeyBytes bounds names and ids, which are used in metric attributes and in
// resource names of grants.
const maxKeyBytes = 128

var (
	// namePattern is the pattern of names in package document, because entries
	// refer to regions and services of a document.
	namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	// keyPattern excludes '/', which separates the parts of resource names.
	keyPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]*$`)
)

// commonFields holds the fields that VMs and upstreams share.
type commonFields struct {
	keyName, key          string
	address               netip.AddrPort
	region, failureDomain string
	state                 State
}

func validate(f commonFields) error {
	if len(f.key) > maxKeyBytes || !keyPattern.MatchString(f.key) {
		return invalidEntry(f.keyName, f.key)
	}
	if !f.address.IsValid() || f.address.Port() == 0 || f.address.Addr().IsUnspecified() {
		return invalidEntry("address", f.address.String())
	}
	if err := checkName("region", f.region); err != nil {
		return err
	}
	if err := checkName("failure_domain", f.failureDomain); err != nil {
		return err
	}
	if !f.state.valid() {
		return invalidEntry("state", string(f.state))
	}
	return nil
}

func checkName(field, name string) error {
	if !namePattern.MatchString(name) {
		return invalidEntry(field, name)
	}
	return nil
}

func invalidEntry(field, value string) error {
	if len(value) > maxKeyBytes {
		value = value[:maxKeyBytes]
	}
	return errors.WithType(errors.Errorf("%s %q", field, value), ErrEntry)
}
