package settings

import (
	"cmp"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/juju/errors"
)

// hiddenValue replaces the value of a setting tagged secret in errors.
const hiddenValue = "(hidden)"

// describer is implemented by setting types that describe their allowed values.
type describer interface{ Allowed() string }

// checker wraps the mapper of each flag, so that every invalid value results in an
// InvalidError. It keeps the first one, because kong converts errors of
// environment variables to plain text.
type checker struct {
	flags        []*kong.Flag
	firstInvalid *InvalidError
}

func (c *checker) install(k *kong.Kong) error {
	return kong.Visit(k.Model, func(node kong.Visitable, next kong.Next) error {
		flag, ok := node.(*kong.Flag)
		if !ok || flag.Name == "help" {
			return next(nil)
		}
		if err := checkBoundTags(flag); err != nil {
			return errors.Annotatef(err, "parse bounds of --%s", flag.Name)
		}
		c.flags = append(c.flags, flag)
		flag.Mapper = c.wrap(flag, flag.Mapper)
		return next(nil)
	})
}

func (c *checker) wrap(flag *kong.Flag, inner kong.Mapper) kong.Mapper {
	decode := func(ctx *kong.DecodeContext, target reflect.Value) error {
		token := ctx.Scan.Peek()
		err := inner.Decode(ctx, target)
		if err == nil && isAllowed(flag, target) {
			return nil
		}
		invalid := newInvalidError(flag)
		invalid.Missing = token.IsEOL()
		invalid.Value = token.String()
		if flag.Tag.Has("secret") {
			invalid.Value = hiddenValue
		}
		if c.firstInvalid == nil {
			c.firstInvalid = invalid
		}
		return invalid
	}
	if flag.IsBool() {
		return boolMapper{kong.MapperFunc(decode)}
	}
	return kong.MapperFunc(decode)
}

// boolMapper is a mapper of a flag that needs no value.
type boolMapper struct{ kong.Mapper }

func (boolMapper) IsBool() bool { return true }

// convertError converts an error of kong to an InvalidError or to ErrUsage.
func (c *checker) convertError(err error) error {
	if c.firstInvalid != nil {
		return c.firstInvalid
	}
	for _, flag := range c.flagsInUse(err) {
		if flag.Required && !flag.Set {
			invalid := newInvalidError(flag)
			invalid.Missing = true
			return invalid
		}
	}
	return errors.WithType(errors.New(err.Error()), ErrUsage)
}

// flagsInUse returns the flags of the program and of the selected command. Required
// flags of other commands may be missing.
func (c *checker) flagsInUse(err error) []*kong.Flag {
	var failed *kong.ParseError
	if errors.As(err, &failed) && failed.Context != nil {
		return failed.Context.Flags()
	}
	return c.flags
}

func newInvalidError(flag *kong.Flag) *InvalidError {
	return &InvalidError{
		Flag:     "--" + flag.Name,
		Variable: strings.Join(flag.Envs, ", "),
		Allowed:  describeAllowed(flag),
	}
}

func isAllowed(flag *kong.Flag, target reflect.Value) bool {
	if flag.Enum != "" && target.Kind() == reflect.String && !flag.EnumMap()[target.String()] {
		return false
	}
	low, high := flag.Tag.Get("min"), flag.Tag.Get("max")
	return (low == "" || compareBound(target, low) >= 0) && (high == "" || compareBound(target, high) <= 0)
}

// compareBound compares a value with a bound that checkBoundTags has validated. The
// result is as of cmp.Compare.
func compareBound(target reflect.Value, bound string) int {
	if target.Type() == reflect.TypeFor[time.Duration]() {
		limit, _ := time.ParseDuration(bound)
		return cmp.Compare(time.Duration(target.Int()), limit)
	}
	limit, _ := strconv.ParseFloat(bound, 64)
	value := toFloat64(target)
	if value != value {
		return cmp.Compare(limit, limit+1) // NaN is below every bound
	}
	return cmp.Compare(value, limit)
}

func toFloat64(target reflect.Value) float64 {
	switch {
	case target.CanInt():
		return float64(target.Int())
	case target.CanUint():
		return float64(target.Uint())
	default:
		return target.Float()
	}
}

func checkBoundTags(flag *kong.Flag) error {
	for _, name := range []string{"min", "max"} {
		bound := flag.Tag.Get(name)
		if bound == "" {
			continue
		}
		var err error
		switch {
		case flag.Target.Type() == reflect.TypeFor[time.Duration]():
			_, err = time.ParseDuration(bound)
		case flag.Target.CanInt(), flag.Target.CanUint(), flag.Target.CanFloat():
			_, err = strconv.ParseFloat(bound, 64)
		default:
			err = errors.NotSupportedf("%s for type %s", name, flag.Target.Type())
		}
		if err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func describeAllowed(flag *kong.Flag) string {
	if flag.Enum != "" {
		return "one of " + strings.Join(flag.EnumSlice(), ", ")
	}
	kind := flag.Target.Type()
	prefix := ""
	if kind.Kind() == reflect.Slice {
		kind, prefix = kind.Elem(), "a comma-separated list of: "
	}
	return prefix + describeType(kind) + describeBounds(flag)
}

func describeType(kind reflect.Type) string {
	if typeDescriber, ok := reflect.Zero(kind).Interface().(describer); ok {
		return typeDescriber.Allowed()
	}
	if kind == reflect.TypeFor[time.Duration]() {
		return "a duration such as 250ms or 2s"
	}
	switch kind.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "an integer"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a non-negative integer"
	default:
		return "text"
	}
}

func describeBounds(flag *kong.Flag) string {
	low, high := flag.Tag.Get("min"), flag.Tag.Get("max")
	switch {
	case low != "" && high != "":
		return fmt.Sprintf(", from %s to %s", low, high)
	case low != "":
		return ", at least " + low
	case high != "":
		return ", at most " + high
	default:
		return ""
	}
}
