package plan

import (
	"encoding/json"

	"github.com/juju/errors"
)

// ErrDamaged says that the bytes are no encoded plan.
const ErrDamaged = errors.ConstError("not an encoded plan")

// Encode returns the plan as bytes. Equal plans have equal bytes.
func Encode(p *Plan) ([]byte, error) {
	raw, err := json.Marshal(p)
	return raw, errors.Annotate(err, "encode plan")
}

// Decode reads what Encode wrote.
func Decode(raw []byte) (*Plan, error) {
	p := &Plan{}
	if err := json.Unmarshal(raw, p); err != nil {
		return nil, errors.Annotate(ErrDamaged, err.Error())
	}
	return p, nil
}
