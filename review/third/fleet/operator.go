package fleet

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// callTimeout is how long a caller of control_plane waits for a response before it moves on.
const callTimeout = time.Second

// Call sends one call to one daemon and closes the connection if there is no response in time.
func Call(ctx context.Context, method, url string, body []byte) (status int, text string, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, string(raw), err
}

// Order sends a call of the operator to the daemons in turn, the given one first, until one acknowledges or refuses it.
func (f *Fleet) Order(path string, body []byte, first int, limit time.Duration) (status int) {
	began := time.Now()
	for attempt := 0; time.Since(began) < limit; attempt++ {
		vm := f.Controls[(first+attempt)%len(f.Controls)]
		status, text, err := Call(context.Background(), http.MethodPost, "http://"+vm.OperatorAddress()+path, body)
		switch {
		case err != nil:
			f.Record.Printf("operator: POST %s at %s: no response: %v", path, vm.Name(), err)
		default:
			f.Record.Printf("operator: POST %s at %s: %d %.60q", path, vm.Name(), status, text)
		}
		if err == nil && (status < 300 || status == 400 || status == 409 || status == 412 || status == 413 || status == 422) {
			return status
		}
		time.Sleep(time.Duration(min(attempt+1, 5)) * 50 * time.Millisecond)
	}
	return 0
}

// Ready reports whether a gateway says that it is ready.
func (vm *VM) Ready() bool {
	status, _, err := Call(context.Background(), http.MethodGet, "http://"+vm.ReadyAddress()+"/pistachiomount/ready", nil)
	return err == nil && status == http.StatusOK
}

// Config returns a configuration with a safe route and an unsafe one, both of service s, the customer t1, and further
// routes and customers, each with a comma before it.
func Config(version, base int, routes, tenants string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"baseVersion":%d,"routes":[
{"name":"r-look","host":"a.example","pathPrefix":"/look/","kind":"safe","timeout":"5000ms","targetLatency":"400ms","priority":1,"service":"s","maxAttempts":2,"public":false,"cacheAffinity":false,"allowedRegions":[]},
{"name":"r-book","host":"a.example","pathPrefix":"/book/","kind":"unsafe","timeout":"5000ms","targetLatency":"400ms","priority":0,"service":"s","maxAttempts":2,"public":false,"cacheAffinity":false,"allowedRegions":[]}%s],
"services":[{"name":"s","healthPath":"/health","maxConnections":330,"protocol":"h1","tls":false,"warmup":"3s","warmupPerS":9.5}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},
"tenants":[{"name":"t1","apiKeys":["key-of-t1"],"priority":1,"ratePerS":500,"burst":500,"allowedRegions":[]}%s]}`, version, base, routes, tenants)
}
