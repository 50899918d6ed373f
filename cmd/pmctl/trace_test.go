package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against missing lines of a request, and against lines ordered by file instead of by time.
func TestTraceGathersTheLinesOfOneRequest(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	first, second := filepath.Join(dir, "a"), filepath.Join(dir, "b")
	is.NoErr(os.WriteFile(first, []byte(`  1.5 edge-1 {"message":"request ended","request":"id-1","time":"2026-01-01T00:00:02Z","vm":"edge-1","reason":"timeout","status":504}
{"message":"request ended","request":"id-11","time":"2026-01-01T00:00:02Z","vm":"edge-1"}
not a line of ours about id-1
`), 0o600))
	is.NoErr(os.WriteFile(second, []byte(`{"message":"offer to an upstream not answered","request":"id-1","time":"2026-01-01T00:00:01Z","vm":"edge-1","upstream":"u-1"}
`), 0o600))
	var out bytes.Buffer
	s := &session{out: &printer{w: &out}}
	is.NoErr((&traceCommand{Request: "id-1", Logs: []string{first, second}}).run(t.Context(), s))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(lines, []string{
		"2026-01-01T00:00:01Z edge-1 offer to an upstream not answered upstream=u-1",
		"2026-01-01T00:00:02Z edge-1 request ended reason=timeout status=504",
	})
	is.True((&traceCommand{Request: "id-9", Logs: []string{first}}).run(t.Context(), s) != nil)
}
