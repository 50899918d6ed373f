package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// downloadBytes is the length of a download: the longest of the deployments' downloads.
	downloadBytes = 540_000
	// downloadDeadline is how long a client waits, and the timeout of the route.
	downloadDeadline = 4 * time.Second
	// clientChunk is what a client reads each clientInterval: 1.6 Mbit/s. The kernel takes over 400 kB of an answer at once.
	clientChunk    = 8 << 10
	clientInterval = 40 * time.Millisecond
	// clientWindow is the receive buffer and clientSegment the segment size of a client that reads slowly.
	clientWindow  = 16 << 10
	clientSegment = 1448
	// firstDownload and lastDownload are when clients send, relative to SIGTERM, one request each downloadInterval:
	// 12 Mbit/s in all.
	firstDownload    = -1200 * time.Millisecond
	lastDownload     = 2400 * time.Millisecond
	downloadInterval = 360 * time.Millisecond
)

// download is one request with its answer.
type download struct {
	id        string
	status, n int
	complete  bool
	sent      time.Time
	took      time.Duration
	err       error
}

// slowDialer returns a dialer of connections whose window is small, as on the links of the pages.
func slowDialer() *net.Dialer {
	return &net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, clientWindow),
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, clientSegment))
		})
		return errors.Join(controlErr, err)
	}}
}

// fetch sends one request on a connection of its own, which it asks to close, and reads the answer at the rate of a slow link.
func fetch(log *record, front string) (d download) {
	d = download{id: newID(), sent: time.Now()}
	defer func() {
		d.took = time.Since(d.sent)
		log.add("answer %s: %d, %d bytes, complete: %v, after %d ms (%v)", d.id, d.status, d.n, d.complete, d.took.Milliseconds(), d.err)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), downloadDeadline)
	defer cancel()
	var conn net.Conn
	if conn, d.err = slowDialer().DialContext(ctx, "tcp", front); d.err != nil {
		return d
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(d.sent.Add(downloadDeadline))
	log.add("sent %s GET %sx to %s", d.id, safePath, front)
	if _, d.err = fmt.Fprintf(conn, "GET %sx HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Credential: %s\r\nConnection: close\r\n\r\n",
		safePath, host, d.id, downloadDeadline.Milliseconds(), key); d.err != nil {
		return d
	}
	var response *http.Response
	if response, d.err = http.ReadResponse(bufio.NewReaderSize(conn, clientChunk), nil); d.err != nil {
		return d
	}
	defer func() { _ = response.Body.Close() }()
	d.status = response.StatusCode
	buf := make([]byte, clientChunk)
	for next := time.Now(); d.err == nil; sleepUntil(next) {
		var n int
		n, d.err = io.ReadFull(response.Body, buf)
		d.n += n
		next = next.Add(clientInterval)
	}
	// ReadFull says ErrUnexpectedEOF for a last short chunk as well as for a body that was cut.
	d.complete = (d.err == io.EOF || d.err == io.ErrUnexpectedEOF) && int64(d.n) == response.ContentLength
	return d
}

// plannedStop stops an entry machine with SIGTERM while clients fetch downloads from it.
func plannedStop(log *record, trouble bool) (int, error) {
	s, err := startSmallWith(log, configuration(1, 0, downloadDeadline), func(s *small) { s.linkMbps = 13 })
	if err != nil {
		return failed, err
	}
	defer s.stop()
	if !s.serves(log) {
		return failed, errors.New("no request is served")
	}
	s.world.answerBytes.Store(downloadBytes)
	time.Sleep(5 * time.Second) // contact is 4 s
	stopAt := time.Now().Add(-firstDownload)
	if trouble {
		go func() {
			sleepUntil(stopAt)
			log.add("SIGTERM to %s", s.entry.name)
			s.entry.signal(syscall.SIGTERM)
		}()
	}
	var mu sync.Mutex
	var all []download
	var wg sync.WaitGroup
	for at := firstDownload; at <= lastDownload; at += downloadInterval {
		sleepUntil(stopAt.Add(at))
		wg.Go(func() {
			d := fetch(log, s.entry.address(frontPort))
			mu.Lock()
			defer mu.Unlock()
			all = append(all, d)
		})
	}
	wg.Wait()
	return judgeStop(log, s, all), nil
}

// judgeStop looks for requests whose endpoint has answered, and whose connection ended without a complete answer before their time was over.
func judgeStop(log *record, s *small, all []download) int {
	answered := map[string]string{}
	for _, r := range s.world.all() {
		if s.world.hasAnswered(r.id, r.endpoint) {
			answered[r.id] = r.endpoint
		}
	}
	status, complete := held, 0
	for _, d := range all {
		switch {
		case d.complete && d.status == http.StatusOK:
			complete++
		case answered[d.id] != "" && d.took < downloadDeadline-500*time.Millisecond:
			log.add("LOST: %s was answered by %s, and its connection ended after %d ms with %d bytes", d.id, answered[d.id], d.took.Milliseconds(), d.n)
			status = broken
		}
	}
	log.add("%d downloads, %d complete", len(all), complete)
	if complete == 0 {
		log.add("no download is complete")
		return failed
	}
	return status
}
