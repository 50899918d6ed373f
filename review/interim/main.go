// Command interim sends requests of a caller that does not wait for one answer before it sends the next request, and
// compares the answers with what the upstream sent.
package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"pistachiomount.example/pistachiomount/review/harness"
)

const (
	// rounds is the number of connections that are tried.
	rounds = 5
	// longBytes is the length of the long answer, longParts in how many parts the upstream sends it, and partPause
	// the time between them.
	longBytes = 3 << 20
	longParts = 48
	partPause = 20 * time.Millisecond
	// between is how long after the first request the second one is sent.
	between = 400 * time.Millisecond
	// continueWait is how long the caller waits for permission to send a body before it sends it all the same.
	continueWait = time.Second

	exitBroken, exitFailed = 1, 2
)

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	lines []string
	// bodies are the digests of the bodies that the upstream sent, by request.
	bodies map[string]string
}

func (r *record) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, values...))
}

func digest(body string) string {
	sum := sha256.Sum256([]byte(body))
	return hex.EncodeToString(sum[:8])
}

// run answers a request at the upstream: a long body under /read/long, a short one elsewhere.
func (r *record) run(w http.ResponseWriter, request *http.Request) {
	sent, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.Header.Get("X-Request-Id")
	body := "answer to " + id
	if strings.HasPrefix(request.URL.Path, "/read/long") {
		body = strings.Repeat("0123456789abcdef", longBytes/16)
	}
	r.mu.Lock()
	r.bodies[id] = digest(body)
	r.mu.Unlock()
	r.note("run: %s %s %s, body %q; answered with %d bytes, digest %s", id, request.Method, request.RequestURI, sent, len(body), digest(body))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	part := max(len(body)/longParts, len("answer to ")+64)
	for len(body) > 0 {
		n := min(part, len(body))
		if _, err := io.WriteString(w, body[:n]); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		if body = body[n:]; body != "" {
			time.Sleep(partPause)
		}
	}
}

func head(id, method, path string, more string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id +
		"\r\nX-Deadline-Ms: 8000\r\nX-Credential: key-1\r\n" + more + "\r\n"
}

// readAnswer reads the final answer to a request and reports whether it is wrong.
func (r *record) readAnswer(br *bufio.Reader, id string) bool {
	for {
		response, err := http.ReadResponse(br, &http.Request{Method: http.MethodGet})
		if err != nil {
			r.note("answered: %s: bytes that are no answer: %v", id, err)
			return true
		}
		if response.StatusCode < http.StatusOK {
			r.note("answered: %s: interim %d", id, response.StatusCode)
			continue
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			r.note("answered: %s: %d, cut after %d bytes: %v", id, response.StatusCode, len(body), err)
			return false // an answer that ends early does not look complete
		}
		r.mu.Lock()
		want := r.bodies[id]
		r.mu.Unlock()
		got := digest(string(body))
		wrong := response.StatusCode == http.StatusOK && got != want
		r.note("answered: %s: %d, signature %q, %d bytes, digest %s, the upstream's is %s%s", id, response.StatusCode,
			response.Header.Get("X-Response-Signature"), len(body), got, want, foreign(string(body), wrong))
		return wrong
	}
}

// foreign describes the first bytes in a wrong body that the upstream did not send.
func foreign(body string, wrong bool) string {
	if !wrong {
		return ""
	}
	for _, text := range []string{"HTTP/1.1 100 Continue\r\n\r\n"} {
		if at := strings.Index(body, text); at >= 0 {
			return fmt.Sprintf("; WRONG: %q stands at byte %d", text, at)
		}
	}
	return "; WRONG"
}

// try sends two requests on one connection and reports whether an answer was wrong.
func (r *record) try(address string, round int, pipelined bool) (wrong bool, err error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(15 * time.Second))
	br := bufio.NewReader(c)
	first, second := fmt.Sprintf("%d-first", round), fmt.Sprintf("%d-second", round)
	r.note("sent: %s GET /read/long", first)
	if _, err := io.WriteString(c, head(first, http.MethodGet, "/read/long", "")); err != nil {
		return false, err
	}
	if !pipelined && r.readAnswer(br, first) {
		return true, nil
	}
	time.Sleep(between)
	r.note("sent: %s PUT /read/short with Expect: 100-continue", second)
	if _, err := io.WriteString(c, head(second, http.MethodPut, "/read/short", "Expect: 100-continue\r\nContent-Length: 5\r\n")); err != nil {
		return false, err
	}
	go func() {
		time.Sleep(continueWait)
		_, _ = io.WriteString(c, "value")
	}()
	if pipelined && r.readAnswer(br, first) {
		return true, nil
	}
	return r.readAnswer(br, second), nil
}

func main() {
	file := flag.String("record", "record.txt", "where the record is written")
	flag.Parse()
	os.Exit(play(*file, os.Getenv("TROUBLE") != "0"))
}

func play(file string, trouble bool) int {
	r := &record{bodies: map[string]string{}}
	defer func() { _ = os.WriteFile(file, []byte(strings.Join(r.lines, "\n")+"\n"), 0o600) }()
	d, err := harness.Start(harness.Configuration(500, 500), r.run)
	if d != nil {
		defer d.Stop()
	}
	if err != nil {
		r.note("cannot run: %v", err)
		return exitFailed
	}
	broken := 0
	for round := range rounds {
		wrong, err := r.try(d.Front(0), round, trouble)
		if err != nil {
			r.note("cannot run: %v", err)
			return exitFailed
		}
		if wrong {
			broken++
		}
	}
	r.note("%d of %d connections got a wrong answer", broken, rounds)
	if broken > 0 {
		return exitBroken
	}
	return 0
}
