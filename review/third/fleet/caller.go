package fleet

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// Answer is the response to one client attempt.
type Answer struct {
	ID     string
	Status int
	Body   string
	Err    error
}

// Send sends one request of customer t1 to a gateway.
func Send(client *http.Client, gateway *VM, method, path string, body []byte, deadline time.Duration) Answer {
	return SendWithKey(client, gateway, "key-of-t1", method, path, body, deadline)
}

// SendWithKey sends one request to a gateway.
func SendWithKey(client *http.Client, gateway *VM, key, method, path string, body []byte, deadline time.Duration) Answer {
	a := Answer{ID: fmt.Sprintf("%016x", rand.Uint64())}
	request, err := http.NewRequest(method, "http://"+gateway.CallerAddress()+path, bytes.NewReader(body))
	if err != nil {
		a.Err = err
		return a
	}
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", a.ID)
	request.Header.Set("X-Credential", key)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		a.Err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	a.Status, a.Body, a.Err = response.StatusCode, string(raw), err
	return a
}
