package main

import (
	"context"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/control"
	"pistachiomount.example/pistachiomount/inventory"
	"pistachiomount.example/pistachiomount/settings"
	"pistachiomount.example/pistachiomount/telemetry"
	"pistachiomount.example/pistachiomount/transport"
)

// platformPollInterval is the interval between fetches of the platform's lists.
const platformPollInterval = time.Second

// options are the flags of the program.
type options struct {
	VM            settings.Name    `name:"vm" required:"" help:"Name of this VM."`
	Region        settings.Name    `required:"" help:"Region of this VM."`
	FailureDomain settings.Name    `required:"" help:"Failure domain of this VM."`
	Deployment    settings.Name    `required:"" help:"Installation whose documents are accepted."`
	DataDir       settings.DataDir `required:"" help:"Folder for all durable state."`
	RPCAddress    settings.Address `name:"rpc-address" default:"127.0.0.1:0" help:"Address for other daemons."`
	HTTPAddress   settings.Address `name:"http-address" default:"127.0.0.1:0" help:"Address for operators, metrics and readiness."`
	// RPCAdvertise is for VMs that other daemons reach at an address other than the bound one.
	RPCAdvertise   settings.Address   `name:"rpc-advertise" help:"RPC address that other daemons are told; the bound address by default."`
	Peers          []settings.Address `help:"RPC addresses of other control daemons."`
	OperatorTokens []string           `help:"Operators as name:digest, with the SHA-256 digest of the token in hexadecimal."`

	PlatformTrial      settings.Address `help:"Address of the platform's lists for trial."`
	PlatformProduction settings.Address `help:"Address of the platform's lists for production."`

	TLSCert  string `name:"tls-cert" help:"Certificate file of this daemon, with organisational unit control."`
	TLSKey   string `name:"tls-key" help:"Key file of the certificate."`
	TLSCA    string `name:"tls-ca" help:"File with the authority of all daemons."`
	Insecure bool   `help:"Allow plaintext between daemons on loopback addresses."`

	telemetry.Settings `embed:""`
}

func (o *options) run(ctx context.Context) error {
	tel, err := telemetry.New(o.Settings, telemetry.Identity{Service: "pm-control", VM: string(o.VM)}, telemetry.Outputs{})
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = tel.Shutdown(context.WithoutCancel(ctx)) }()
	cfg, ready, err := o.config(ctx, tel)
	if err != nil {
		return errors.Trace(err)
	}
	daemon, err := control.New(*cfg)
	if err != nil {
		return errors.Trace(err)
	}
	ready.SetState("serving", true)
	return errors.Trace(daemon.Run(ctx))
}

func (o *options) config(ctx context.Context, tel *telemetry.Telemetry) (*control.Config, *settings.Ready, error) {
	security := &transport.Security{CertFile: o.TLSCert, KeyFile: o.TLSKey, CAFile: o.TLSCA, Insecure: o.Insecure}
	if err := security.Validate(); err != nil {
		return nil, nil, errors.Trace(err)
	}
	tokens, err := parseTokens(o.OperatorTokens)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	rpcListener, err := settings.Listen(o.RPCAddress, "rpc", tel.Logger)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	httpListener, err := settings.Listen(o.HTTPAddress, "http", tel.Logger)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	ready := settings.NewReady()
	ready.AddListener("rpc", rpcListener.Addr())
	ready.AddListener("http", httpListener.Addr())
	advertise := ""
	if o.RPCAdvertise.IsValid() {
		advertise = o.RPCAdvertise.String()
	}
	clk := clock.NewSystem()
	return &control.Config{
		Name: string(o.VM), Region: string(o.Region), FailureDomain: string(o.FailureDomain),
		Deployment: string(o.Deployment), DataDir: string(o.DataDir), Peers: addressStrings(o.Peers),
		OperatorTokens: tokens, AdvertiseRPC: advertise, RPCListener: rpcListener, HTTPListener: httpListener, Security: security,
		Clock: clk, Log: tel.Logger, Meter: tel.MeterProvider.Meter("control"),
		Tracer:    tel.TracerProvider.Tracer("control"),
		Handlers:  map[string]http.Handler{"/metrics": tel.MetricsHandler(), "/ready": ready},
		Platforms: o.startPlatformPollers(ctx, clk, tel),
	}, ready, nil
}

// startPlatformPollers starts a poller for each environment with a platform address and returns
// the lists that the pollers update.
func (o *options) startPlatformPollers(ctx context.Context, clk clock.Clock, tel *telemetry.Telemetry) map[apipb.Environment]control.PlatformLists {
	byEnvironment := map[apipb.Environment]control.PlatformLists{}
	for env, address := range map[apipb.Environment]settings.Address{
		apipb.Environment_ENVIRONMENT_TRIAL:      o.PlatformTrial,
		apipb.Environment_ENVIRONMENT_PRODUCTION: o.PlatformProduction,
	} {
		if !address.IsValid() {
			continue
		}
		client := inventory.NewClient(inventory.ClientConfig{Address: address, Clock: clk, Logger: tel.Logger})
		lists := &platformLists{}
		poller := inventory.NewPoller(inventory.PollerConfig{
			Client: client, Period: platformPollInterval, Logger: tel.Logger, OnUpstreams: lists.setUpstreams, OnVMs: lists.setVMs,
		})
		go poller.Run(ctx)
		byEnvironment[env] = lists
	}
	return byEnvironment
}

// parseTokens parses operators given as name:digest and returns their names by digest.
func parseTokens(values []string) (map[string]string, error) {
	tokens := map[string]string{}
	for _, value := range values {
		name, digest, ok := strings.Cut(value, ":")
		raw, err := hex.DecodeString(digest)
		if !ok || name == "" || err != nil || len(raw) != 32 {
			return nil, &settings.InvalidError{
				Flag: "--operator-tokens", Variable: "PM_OPERATOR_TOKENS", Value: name + ":...",
				Allowed: "a list of name:digest with a SHA-256 digest of 64 hexadecimal digits",
			}
		}
		tokens[digest] = name
	}
	return tokens, nil
}

func addressStrings(addresses []settings.Address) []string {
	formatted := make([]string, len(addresses))
	for i, a := range addresses {
		formatted[i] = a.String()
	}
	return formatted
}
