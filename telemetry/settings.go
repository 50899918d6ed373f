package telemetry

import "pistachiomount.example/pistachiomount/settings"

// Values of Settings.Traces, which selects the trace exporter.
const (
	TracesOff    = "off"
	TracesStdout = "stdout"
	TracesOTLP   = "otlp"
)

// Settings holds the flags of this package. Daemons embed it in their own settings.
type Settings struct {
	LogLevel      string           `default:"info" enum:"error,warning,info,debug" help:"Lowest level that is logged: error, warning, info or debug."`
	Traces        string           `default:"off" enum:"off,stdout,otlp" help:"Trace exporter: off, stdout or otlp (OTLP over HTTP)."`
	TracesAddress settings.Address `default:"127.0.0.1:4318" help:"Address of the OTLP collector."`
	TracesRatio   float64          `default:"0.01" min:"0" max:"1" help:"Share of new traces that is sampled."`
}
