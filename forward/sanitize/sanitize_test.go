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

var targets = map[error][]string{
	nil: {"/", "/a/b", "/a/", "/a%20b/%C3%A9", "/a?x=/../;b//", "/a:b@c!$&'()*+,=", "/a?keys=1&monkey=2"},
	ErrMalformedTarget: {
		"", "*", "a", "http://h/a", "//a", "/a//b", "/a/../b", "/a/./b", "/a/..", "/.", "/%2e%2e/b",
		"/a%2Fb", "/a%5cb", "/a%3Bb", "/a;b", "/a\\b", "/a%252fb", "/%61", "/a%00", "/a%0d%0a", "/a%zz",
		"/a%2", "/a%", "/%c0%af", "/\xc3\xa9", "/a b", "/a#b", "/a?b c", "/a?%zz=1",
	},
	ErrKeyInQuery: {"/a?api_key=1", "/a?b=1&KEY=2", "/a?b;access-token=2", "/a?%6bey"},
}

// Guards against accepting paths and queries that another proxy or upstream could
// interpret differently.
func TestParseTarget(t *testing.T) {
	is := is.New(t)
	for want, uris := range targets {
		for _, uri := range uris {
			_, err := ParseTarget(uri)
			t.Log(uri)
			is.True(errors.Is(err, want) || err == nil && want == nil)
		}
	}
}

// Guards against an accepted target that changes when it is normalised, decoded a second
// time or parsed by the standard library, and against key parameters that pass.
func FuzzParseTarget(f *testing.F) {
	for _, uris := range targets {
		for _, uri := range uris {
			f.Add(uri, "secret")
		}
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
		if err != nil || u.Path != target.Path || u.RawQuery != target.RawQuery || u.Host != "" {
			t.Fatalf("%q: standard parser sees %v, %v", uri, u, err)
		}
		for name := range u.Query() {
			if isKeyParameter(name) {
				t.Fatalf("key parameter passed in %q", uri)
			}
		}
		if clean, ok := target.WithoutKey(key); ok && ContainsKey(clean.String(), key) {
			t.Fatalf("key %q left in %q", key, clean)
		}
	})
}

// Guards against choosing one of several keys, and against reading a key from another
// authentication scheme.
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
		key, err := ExtractKey(c.h)
		is.Equal(key, c.key)
		is.True(errors.Is(err, c.want) || err == nil && c.want == nil)
	}
}
