package main

import (
	"fmt"
	"time"

	"pistachiomount.example/pistachiomount/settings"
	"pistachiomount.example/pistachiomount/standin"
	"pistachiomount.example/pistachiomount/telemetry"
)

type flags struct {
	telemetry.Settings `embed:""`
	VM                 settings.Name    `default:"upstreams" help:"Name of this process in logs."`
	Control            settings.Address `default:"127.0.0.1:0" help:"Address for control requests."`
	Platform           settings.Address `help:"Platform stand-in at which the upstreams register."`
	File               string           `help:"JSON file with the upstreams; the flags below are ignored then."`

	Count          int              `default:"1" min:"1" max:"1000" help:"Number of upstreams."`
	Service        settings.Name    `default:"records" help:"Service that the upstreams belong to."`
	Region         settings.Name    `default:"bogota" help:"Region of the upstreams."`
	FailureDomain  settings.Name    `default:"a" help:"Failure domain of the upstreams."`
	Address        settings.Address `default:"127.0.0.1:0" help:"Address of the upstreams; with a count above 1 the port must be 0."`
	Slots          int              `default:"5" min:"1" max:"10000" help:"Requests that run at once in one upstream."`
	Queue          int              `default:"5" min:"0" max:"10000" help:"Requests that wait for a slot."`
	MaxConnections int              `default:"330" min:"1" max:"100000" help:"Connections of one upstream."`
	ServiceTime    time.Duration    `default:"5ms" min:"0s" max:"1h" help:"Time that a request runs."`
	Jitter         time.Duration    `default:"0s" min:"0s" max:"1h" help:"Random time added, below this value."`
	Seed           uint64           `default:"1" help:"Seed of the random times."`
	ColdRequests   int              `default:"0" min:"0" max:"1000000" help:"Number of first requests that take longer."`
	ColdFactor     float64          `default:"1" min:"1" max:"1000" help:"How many times longer they take."`
	Secrets        []string         `secret:"" help:"Strings searched for in everything that arrives."`
}

func (f *flags) fleetConfig() (standin.FleetConfig, error) {
	if f.File != "" {
		config, err := standin.LoadFleetConfig(f.File)
		if err != nil {
			return config, settings.InvalidFile("--file", "PM_FILE", f.File, "a JSON file with upstreams", err)
		}
		return config, nil
	}
	if f.Count > 1 && f.Address.Port() != 0 {
		return standin.FleetConfig{}, &settings.InvalidError{
			Flag: "--address", Variable: "PM_ADDRESS", Value: f.Address.String(), Allowed: "port 0 with a count above 1",
		}
	}
	var config standin.FleetConfig
	for i := range f.Count {
		config.Upstreams = append(config.Upstreams, standin.FleetMember{UpstreamConfig: f.upstreamConfig(i), Address: f.Address})
	}
	return config, nil
}

func (f *flags) upstreamConfig(i int) standin.UpstreamConfig {
	return standin.UpstreamConfig{
		ID:             fmt.Sprintf("%s-%s-%s-%d", f.Service, f.Region, f.FailureDomain, i+1),
		Service:        string(f.Service),
		Region:         string(f.Region),
		FailureDomain:  string(f.FailureDomain),
		Slots:          f.Slots,
		Queue:          f.Queue,
		MaxConnections: f.MaxConnections,
		ServiceTimeMS:  f.ServiceTime.Milliseconds(),
		JitterMS:       f.Jitter.Milliseconds(),
		Seed:           f.Seed + uint64(i),
		ColdRequests:   f.ColdRequests,
		ColdFactor:     f.ColdFactor,
		Secrets:        f.Secrets,
	}
}
