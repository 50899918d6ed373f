package forward

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// plainProxy forwards with the standard library alone, with pooled copy buffers.
func plainProxy(address string) http.HandlerFunc {
	transport := &http.Transport{DisableCompression: true}
	return func(w http.ResponseWriter, r *http.Request) {
		req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+address+r.RequestURI, nil)
		if err != nil {
			panic(err)
		}
		req.Header = r.Header
		resp, err := transport.RoundTrip(req)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer resp.Body.Close()
		for name, values := range resp.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(resp.StatusCode)
		buf := bufferPool.Get().(*[]byte)
		defer bufferPool.Put(buf)
		_, _ = io.CopyBuffer(struct{ io.Writer }{w}, resp.Body, (*buf)[:cap(*buf)])
	}
}

func plainUpstream(tb testing.TB) *recorder {
	body := []byte(strings.Repeat("b", 2000))
	u := &recorder{Server: httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(body)
	}))}
	u.upstream = Upstream{Name: "a", Address: u.Listener.Addr().String(), Region: "near"}
	tb.Cleanup(u.Close)
	return u
}

// call sends one request and reads its response.
func call(client *http.Client, url string) error {
	req, err := http.NewRequest("GET", url, nil)
	if err != nil {
		return err
	}
	req.Header["X-Api-Key"] = []string{aliceKey}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func processCPU() float64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1000
}

func benchmarkProxy(b *testing.B, server *httptest.Server) {
	b.ReportAllocs()
	before := processCPU()
	for b.Loop() {
		if err := call(server.Client(), server.URL+"/look/x?a=1"); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric((processCPU()-before)/float64(b.N), "cpu-µs/op")
}

// The difference between the two benchmarks is the cost of the Handler beyond a plain
// proxy.
func BenchmarkBareHop(b *testing.B) {
	server := httptest.NewServer(plainProxy(plainUpstream(b).upstream.Address))
	defer server.Close()
	benchmarkProxy(b, server)
}

func BenchmarkHop(b *testing.B) { benchmarkProxy(b, newHarness(b, plainUpstream(b)).server) }

// Guards against growth of the work per request: the Handler may allocate at most 1.75
// times the objects and bytes of a plain proxy, including those of the caller and the
// upstream.
func TestHandlerAllocationRatio(t *testing.T) {
	is := is.New(t)
	up := plainUpstream(t)
	plain := httptest.NewServer(plainProxy(up.upstream.Address))
	defer plain.Close()
	plainObjects, plainBytes := measure(t, plain)
	objects, bytes := measure(t, newHarness(t, up).server)
	t.Logf("objects per request: handler %.0f, plain proxy %.0f; bytes: handler %.0f, plain proxy %.0f", objects, plainObjects, bytes, plainBytes)
	is.True(objects < 1.75*plainObjects)
	is.True(bytes < 1.75*plainBytes)
}

func measure(t *testing.T, server *httptest.Server) (objects, bytes float64) {
	const runs = 2000
	var before, after runtime.MemStats
	for i := range runs + 100 {
		if i == 100 { // connections and buffer pools are in use
			runtime.ReadMemStats(&before)
		}
		if err := call(server.Client(), server.URL+"/look/x?a=1"); err != nil {
			t.Fatal(err)
		}
	}
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs-before.Mallocs) / runs, float64(after.TotalAlloc-before.TotalAlloc) / runs
}
