package telemetry

import "pistachiomount.example/pistachiomount/settings"

// The trace exporters.
const (
	TracesOff    = "off"
	TracesStdout = "stdout"
	TracesOTLP   = "otlp"
)

// Settings are the flags of this package; a daemon embeds them in its own.
type Settings struct {
	LogLevel      string           `default:"info" enum:"error,warning,info,debug" help:"Lowest level that is logged: error, warning, info or debug."`
	Traces        string           `default:"off" enum:"off,stdout,otlp" help:"Trace exporter: off, stdout or otlp (OTLP over HTTP)."`
	TracesAddress settings.Address `default:"127.0.0.1:4318" help:"Address of the OTLP collector."`
	TracesRatio   float64          `default:"0.01" min:"0" max:"1" help:"Share of new traces that is sampled."`
}
