package inference

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kratos/kratos/v2/log"

	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/protocol/enginehttp"
	standinengine "github.com/radishloom/radishloom/internal/standin/engine"
	"github.com/radishloom/radishloom/internal/transport/httpclient"
	"github.com/radishloom/radishloom/internal/transport/httpserver"
)

// startBenchTarget starts an engine stand-in and returns its address, or that of
// a handler in front of it.
func startBenchTarget(b *testing.B, through bool, tokenTime time.Duration) string {
	b.Helper()
	e, err := standinengine.Start("127.0.0.1:0", standinengine.Config{
		Models: []standinengine.Model{{Name: "m2"}}, Resident: []string{"m2"}, Slots: 2000, MaxWaiting: 2000, TokenTime: tokenTime,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(e.Close)
	if !through {
		return e.Addr()
	}
	client := httpclient.New(httpclient.Options{})
	direct := &directServer{engine: enginehttp.New(client), to: engine.Target{Name: "e", Address: e.Addr()}}
	routes := testRoutes()
	h := New(Options{Server: direct, Routes: func() Routes { return routes }, Logger: slog.New(slog.DiscardHandler)})
	log.SetLogger(log.NewStdLogger(io.Discard)) // kratos would log into the benchmark output
	s, err := httpserver.New(httpserver.Config{Address: "127.0.0.1:0", Handler: h})
	if err != nil {
		b.Fatal(err)
	}
	go s.Start(context.Background()) // ends with Stop
	b.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Stop(ctx)
		client.Close()
	})
	return s.Addr().String()
}

func benchBody(stream bool, tokens int) string {
	return fmt.Sprintf(`{"model":"m2","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, tokens, strings.Repeat("word ", 200))
}

// BenchmarkAnswer compares a direct request to the stand-in with the same request
// through the handler and enginehttp. The difference is the latency and the
// allocations of the handler, the server and the client.
func BenchmarkAnswer(b *testing.B) {
	for _, stream := range []bool{false, true} {
		for _, through := range []bool{false, true} {
			b.Run(fmt.Sprintf("stream=%t/through=%t", stream, through), func(b *testing.B) {
				address := startBenchTarget(b, through, 0)
				client := &http.Client{}
				body := benchBody(stream, 32)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					req, err := http.NewRequest(http.MethodPost, "http://"+address+pathChat, strings.NewReader(body))
					if err != nil {
						b.Fatal(err)
					}
					req.Header.Set("X-Request-Id", fmt.Sprintf("r%d", i))
					r, err := client.Do(req)
					if err != nil {
						b.Fatal(err)
					}
					got, err := io.Copy(io.Discard, r.Body)
					_ = r.Body.Close()
					if err != nil || r.StatusCode != http.StatusOK || got < 100 {
						b.Fatal(r.Status, got, err)
					}
				}
			})
		}
	}
}

// BenchmarkOpenStreams reports the memory per stream of 1,000 open streams. The
// stand-in and the caller run in the same process, so the difference between the
// two variants is the memory of the handler, the server and the client. Run it
// with -benchtime=1x.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 1000
	for _, through := range []bool{false, true} {
		b.Run(fmt.Sprintf("through=%t", through), func(b *testing.B) {
			address := startBenchTarget(b, through, 20*time.Millisecond)
			for b.Loop() {
				before := memoryInUse()
				conns := make([]net.Conn, streams)
				var wait sync.WaitGroup
				for i := range conns {
					wait.Go(func() { conns[i] = openStream(b, address) })
				}
				wait.Wait()
				b.ReportMetric(float64(memoryInUse()-before)/streams, "B/stream")
				for _, c := range conns {
					_ = c.Close()
				}
			}
		})
	}
}

// openStream starts a long stream and reads until its first event.
func openStream(b *testing.B, address string) net.Conn {
	b.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	body := benchBody(true, 1<<20)
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", pathChat, len(body), body)
	br := bufio.NewReaderSize(c, 16)
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			b.Error(err)
			return c
		}
		if strings.HasPrefix(line, "data:") {
			return c
		}
	}
}

// memoryInUse returns the bytes of heap and stacks after a garbage collection.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
