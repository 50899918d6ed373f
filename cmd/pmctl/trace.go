package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

// traceCommand merges the log lines of one request from several logs by time.
type traceCommand struct {
	Request string   `arg:"" help:"Id of the request."`
	Logs    []string `arg:"" help:"Log files of daemons, in any order; - for standard input."`
}

// traceLine is one log line of the request.
type traceLine struct {
	timestamp string
	vm        string
	text      string
	fields    map[string]any
}

func (c *traceCommand) run(_ context.Context, s *session) error {
	var lines []traceLine
	for _, name := range c.Logs {
		found, err := c.read(name)
		if err != nil {
			return errors.Annotatef(err, "log %s", name)
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return errors.NotFoundf("log line of request %q in %d logs", c.Request, len(c.Logs))
	}
	slices.SortStableFunc(lines, func(a, b traceLine) int { return strings.Compare(a.timestamp, b.timestamp) })
	for _, line := range lines {
		if _, err := fmt.Fprintln(s.out.w, line.String()); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (c *traceCommand) read(name string) ([]traceLine, error) {
	if name == "-" {
		return filterLines(c.Request, os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = f.Close() }()
	return filterLines(c.Request, f)
}

// filterLines returns the lines whose field "request" equals the id. Text before the JSON object
// of a line, such as a time and a name that a log collector added, is skipped.
func filterLines(request string, r io.Reader) ([]traceLine, error) {
	var lines []traceLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		raw := scanner.Bytes()
		begin := bytes.IndexByte(raw, '{')
		if begin < 0 || !bytes.Contains(raw, []byte(request)) {
			continue
		}
		fields := map[string]any{}
		if json.Unmarshal(raw[begin:], &fields) != nil || fields["request"] != request {
			continue // not a JSON log line, or a line of another request
		}
		lines = append(lines, newTraceLine(fields))
	}
	return lines, errors.Trace(scanner.Err())
}

func newTraceLine(fields map[string]any) traceLine {
	line := traceLine{fields: fields}
	line.timestamp, _ = fields["time"].(string)
	line.vm, _ = fields["vm"].(string)
	line.text, _ = fields["message"].(string)
	for _, printed := range []string{"time", "vm", "message", "level", "request"} {
		delete(fields, printed)
	}
	return line
}

// String formats the line as time, VM and message, followed by the other fields sorted by name.
func (l traceLine) String() string {
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.timestamp, l.vm, l.text)
	for _, name := range names {
		if value := fmt.Sprint(l.fields[name]); value != "" {
			fmt.Fprintf(&b, " %s=%s", name, value)
		}
	}
	return b.String()
}
