package main

import (
	"context"
	"net/http"
	"runtime"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/entry"
	"pistachiomount.example/pistachiomount/settings"
	"pistachiomount.example/pistachiomount/telemetry"
	"pistachiomount.example/pistachiomount/transport"
)

// options are the flags of the program.
type options struct {
	VM            settings.Name        `name:"vm" required:"" help:"Name of this VM."`
	Region        settings.Name        `required:"" help:"Region of this VM."`
	FailureDomain settings.Name        `required:"" help:"Failure domain of this VM."`
	Deployment    settings.Name        `required:"" help:"Installation whose documents are used."`
	Environment   settings.Environment `required:"" help:"trial or production."`

	Address      settings.Address `default:"127.0.0.1:0" help:"Address for callers."`
	AdminAddress settings.Address `default:"127.0.0.1:0" help:"Address for metrics and readiness."`
	// Advertise is for VMs that callers reach at an address other than the bound one.
	Advertise settings.Address   `help:"Address that look-ups give to callers; the bound address by default."`
	Controls  []settings.Address `required:"" help:"RPC addresses of control daemons."`
	Platform  settings.Address   `required:"" help:"Address of the platform's lists."`

	Threads int `default:"0" min:"0" max:"1024" help:"Threads that run at once; 0 leaves one core to the control daemon beside."`

	TLSCert  string `name:"tls-cert" help:"Certificate file of this daemon, with organisational unit entry."`
	TLSKey   string `name:"tls-key" help:"Key file of the certificate."`
	TLSCA    string `name:"tls-ca" help:"File with the authority of all daemons."`
	Insecure bool   `help:"Allow plaintext between daemons on loopback addresses."`

	telemetry.Settings `embed:""`
}

func (o *options) run(ctx context.Context) error {
	o.limitThreads()
	tel, err := telemetry.New(o.Settings, telemetry.Identity{Service: "pm-entry", VM: string(o.VM)}, telemetry.Outputs{})
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = tel.Shutdown(context.WithoutCancel(ctx)) }()
	cfg, err := o.config(tel)
	if err != nil {
		return errors.Trace(err)
	}
	daemon, err := entry.New(*cfg)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(daemon.Run(ctx))
}

// limitThreads sets GOMAXPROCS. By default it leaves one core to a control daemon on the same VM.
func (o *options) limitThreads() {
	threads := o.Threads
	if threads == 0 {
		threads = max(1, runtime.NumCPU()-1)
	}
	runtime.GOMAXPROCS(threads)
}

func (o *options) config(tel *telemetry.Telemetry) (*entry.Config, error) {
	security := &transport.Security{CertFile: o.TLSCert, KeyFile: o.TLSKey, CAFile: o.TLSCA, Insecure: o.Insecure}
	if err := security.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	callers, err := settings.Listen(o.Address, "callers", tel.Logger)
	if err != nil {
		return nil, errors.Trace(err)
	}
	admin, err := settings.Listen(o.AdminAddress, "admin", tel.Logger)
	if err != nil {
		return nil, errors.Trace(err)
	}
	ready := settings.NewReady()
	ready.AddListener("callers", callers.Addr())
	ready.AddListener("admin", admin.Addr())
	advertise := callers.Addr().String()
	if o.Advertise.IsValid() {
		advertise = o.Advertise.String()
	}
	return &entry.Config{
		VM: string(o.VM), Region: string(o.Region), FailureDomain: string(o.FailureDomain),
		Deployment: string(o.Deployment), Environment: environmentProto(o.Environment),
		Advertise: advertise, Controls: addressStrings(o.Controls), Platform: o.Platform,
		CallerListener: callers, AdminListener: admin, Security: security, Ready: ready,
		Clock: clock.NewSystem(), Log: tel.Logger,
		Meter:  tel.MeterProvider.Meter("entry"),
		Tracer: tel.TracerProvider.Tracer("entry"),
		AdminHandlers: map[string]http.Handler{
			"/metrics": tel.MetricsHandler(), "/ready": ready,
		},
	}, nil
}

func environmentProto(env settings.Environment) apipb.Environment {
	if env == settings.Production {
		return apipb.Environment_ENVIRONMENT_PRODUCTION
	}
	return apipb.Environment_ENVIRONMENT_TRIAL
}

func addressStrings(addresses []settings.Address) []string {
	formatted := make([]string, len(addresses))
	for i, a := range addresses {
		formatted[i] = a.String()
	}
	return formatted
}
