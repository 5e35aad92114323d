//go:build deps

// Package internal keeps the modules that the design names in go.mod until
// the first package imports them.
package internal

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/datadriven"
	_ "github.com/go-kratos/kratos/v2"
	_ "github.com/go-kratos/kratos/v2/transport/http"
	_ "github.com/go-playground/validator/v10"
	_ "github.com/google/uuid"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "go.opentelemetry.io/otel"
	_ "go.opentelemetry.io/otel/exporters/prometheus"
	_ "go.opentelemetry.io/otel/sdk/metric"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
