package sanitize

import (
	"net/http"
	"net/url"
	"path"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

var targets = []struct {
	uri  string
	want error
}{
	{"/", nil},
	{"/a/b", nil},
	{"/a/", nil},
	{"/a%20b/%C3%A9", nil},
	{"/a?x=/../;b//", nil},
	{"/a:b@c!$&'()*+,=", nil},
	{"/a?keys=1&monkey=2", nil},
	{"", ErrTarget},
	{"*", ErrTarget},
	{"a", ErrTarget},
	{"http://h/a", ErrTarget},
	{"//a", ErrTarget},
	{"/a//b", ErrTarget},
	{"/a/../b", ErrTarget},
	{"/a/./b", ErrTarget},
	{"/a/..", ErrTarget},
	{"/.", ErrTarget},
	{"/%2e%2e/b", ErrTarget},
	{"/a%2Fb", ErrTarget},
	{"/a%5cb", ErrTarget},
	{"/a%3Bb", ErrTarget},
	{"/a;b", ErrTarget},
	{"/a\\b", ErrTarget},
	{"/a%252fb", ErrTarget},
	{"/%61", ErrTarget},
	{"/a%00", ErrTarget},
	{"/a%0d%0a", ErrTarget},
	{"/a%zz", ErrTarget},
	{"/a%2", ErrTarget},
	{"/a%", ErrTarget},
	{"/%c0%af", ErrTarget},
	{"/\xc3\xa9", ErrTarget},
	{"/a b", ErrTarget},
	{"/a#b", ErrTarget},
	{"/a?b c", ErrTarget},
	{"/a?%zz=1", ErrTarget},
	{"/a?api_key=1", ErrKeyInQuery},
	{"/a?b=1&KEY=2", ErrKeyInQuery},
	{"/a?b;access-token=2", ErrKeyInQuery},
	{"/a?%6bey", ErrKeyInQuery},
}

// Guards against paths and queries that another hop could read differently.
func TestParseTarget(t *testing.T) {
	for _, c := range targets {
		t.Run(c.uri, func(t *testing.T) {
			is := is.New(t)
			_, err := ParseTarget(c.uri)
			is.True(errors.Is(err, c.want) || err == nil && c.want == nil)
		})
	}
}

// Guards against an accepted target that changes when it is normalised, decoded
// a second time or parsed by the standard library, and against key parameters.
func FuzzParseTarget(f *testing.F) {
	for _, c := range targets {
		f.Add(c.uri, "secret")
	}
	f.Add("/a?b=sec%72et&c=se;cret", "secret")
	f.Fuzz(func(t *testing.T, uri, key string) {
		target, err := ParseTarget(uri)
		if err != nil {
			return
		}
		if p := target.Path; path.Clean(p) != p && path.Clean(p)+"/" != p || strings.ContainsAny(p, "\\;%") {
			t.Fatalf("path %q of %q is not clean", p, uri)
		}
		u, err := url.ParseRequestURI(uri)
		if err != nil || u.Path != target.Path || u.RawQuery != target.Query || u.Host != "" {
			t.Fatalf("%q: standard parser sees %v, %v", uri, u, err)
		}
		for name := range u.Query() {
			if namesKey(name) {
				t.Fatalf("key parameter passed in %q", uri)
			}
		}
		if clean, ok := target.WithoutKey(key); ok && Holds(clean.String(), key) {
			t.Fatalf("key %q left in %q", key, clean)
		}
	})
}

// Guards against one of several keys being taken, or another scheme for a key.
func TestKey(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		h    http.Header
		key  string
		want error
	}{
		{http.Header{"X-Api-Key": {" k "}}, "k", nil},
		{http.Header{"Authorization": {"bearer k"}}, "k", nil},
		{http.Header{"Authorization": {"Bearer  k"}}, "k", nil},
		{http.Header{}, "", ErrKeyMissing},
		{http.Header{"X-Api-Key": {""}}, "", ErrKeyMissing},
		{http.Header{"Authorization": {"Bearer"}}, "", ErrKeyMissing},
		{http.Header{"Authorization": {"Digest k"}}, "", ErrKeyMissing},
		{http.Header{"X-Api-Key": {"k", "k"}}, "", ErrKeyAmbiguous},
		{http.Header{"X-Api-Key": {"k,l"}}, "", ErrKeyAmbiguous},
		{http.Header{"Authorization": {"Bearer k l"}}, "", ErrKeyAmbiguous},
		{http.Header{"Authorization": {"Basic x"}, "X-Api-Key": {"k"}}, "", ErrKeyAmbiguous},
	} {
		key, err := Key(c.h)
		is.Equal(key, c.key)
		is.True(errors.Is(err, c.want) || err == nil && c.want == nil)
	}
}
