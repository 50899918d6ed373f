package settings

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a first signal that exits without a graceful shutdown.
func TestFirstSignalEndsContext(t *testing.T) {
	is := is.New(t)
	signals := make(chan os.Signal, 2)
	signals <- syscall.SIGTERM
	stopped := false
	err := runUntil(signals, func(int) { t.Error("exit was called") }, func(ctx context.Context) error {
		<-ctx.Done()
		stopped = true
		return nil
	})
	is.NoErr(err)
	is.True(stopped)
}

// Guards against a process that hangs in a graceful shutdown and ignores further signals.
func TestSecondSignalExits(t *testing.T) {
	is := is.New(t)
	signals := make(chan os.Signal, 2)
	signals <- syscall.SIGTERM
	signals <- syscall.SIGINT
	release := make(chan struct{})
	defer close(release)
	code := -1
	_ = runUntil(signals, func(c int) { code = c }, func(context.Context) error {
		<-release
		return nil
	})
	is.Equal(code, ExitFailure)
}

func TestListenLogsAndReadyReports(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	logger.SetFormatter(&logrus.JSONFormatter{})
	var address Address
	is.NoErr(address.UnmarshalText([]byte("127.0.0.1:0")))
	listener, err := Listen(address, "http", logger)
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	var line map[string]string
	is.NoErr(json.Unmarshal(out.Bytes(), &line))
	is.Equal(line["msg"], "listening")
	is.Equal(line["listener"], "http")
	is.Equal(line["address"], listener.Addr().String())

	is.NoErr(address.UnmarshalText([]byte(listener.Addr().String())))
	_, err = Listen(address, "again", logger)
	is.True(err != nil)

	ready := NewReady()
	ready.AddListener("http", listener.Addr())
	is.Equal(get(ready), 503)
	ready.SetState("serving", true)
	is.Equal(get(ready), 200)
	is.Equal(ready.Report().Listeners["http"], listener.Addr().String())
}

func get(ready *Ready) int {
	recorder := httptest.NewRecorder()
	ready.ServeHTTP(recorder, httptest.NewRequest("GET", "/ready", nil))
	return recorder.Code
}
