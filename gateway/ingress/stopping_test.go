package ingress_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/gateway/ingress"
)

// Guards against a planned stop that takes requests behind one that runs for long, and cuts them at the
// end of the time that the stop may take.
func TestAStoppingServerTakesNoRequestBehindAnother(t *testing.T) {
	is := is.New(t)
	release, started := make(chan struct{}), make(chan string, 3)
	server, address := serve(t, func(_ context.Context, r *ingress.Request) *ingress.Response {
		started <- r.Path
		<-release
		return ok(r.Path)
	})
	conn, br := dial(t, address)
	send(conn, get("/1"))
	is.Equal(<-started, "/1")
	server.CloseAfterResponses()
	send(conn, get("/2")) // new connections are accepted too until then
	is.Equal(<-started, "/2")
	server.StopAccepting()
	send(conn, get("/3"))
	time.Sleep(50 * time.Millisecond)
	close(release)
	for _, want := range []string{"/1", "/2"} {
		_, body, closes := read(t, br)
		is.Equal(body, want)
		is.Equal(closes, want == "/2")
	}
	_, err := br.ReadByte()
	is.Equal(err, io.EOF)
	is.Equal(len(started), 0) // the third one did not start
}
