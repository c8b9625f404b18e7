package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"cornelwood.example/internal/standin/keeper"
	"cornelwood.example/internal/standin/searcher"
)

// stopTimeout limits the duration of a graceful stop.
const stopTimeout = 3 * time.Second

func platformCommand(out io.Writer, log hclog.Logger) *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "runs the platform: objects, watches and the list of instances",
		Flags: []cli.Flag{
			listenFlag(),
			readyFlag(),
			&cli.DurationFlag{Name: "lag", Usage: "`DURATION` by which the list of instances is delayed"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runPlatform(ctx, cmd, out, log)
		},
	}
}

func runPlatform(ctx context.Context, cmd *cli.Command, out io.Writer, log hclog.Logger) error {
	ln, err := listen(cmd.String("listen"))
	if err != nil {
		return err
	}
	k, cleanup := keeper.New(keeper.Config{Lag: cmd.Duration("lag")}, log)
	defer cleanup()
	srv := &http.Server{Handler: k, ReadHeaderTimeout: time.Minute}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(ln) }()
	err = announce(out, cmd.String("ready-file"), []string{"listening " + ln.Addr().String()})
	if err != nil {
		return errors.Join(err, srv.Close())
	}
	return waitAndStop(ctx, served, func(ctx context.Context) error {
		cleanup()
		return srv.Shutdown(ctx)
	})
}

// waitAndStop calls shutDown when ctx ends, or returns the error of a server that ended first. It ignores a shutdown
// that takes longer than stopTimeout.
func waitAndStop(ctx context.Context, served <-chan error, shutDown func(context.Context) error) error {
	select {
	case <-ctx.Done():
	case err := <-served:
		return err
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := shutDown(stopCtx)
	if errors.Is(err, context.DeadlineExceeded) {
		// Requests that a fault makes hang or stall end with the process.
		return nil
	}
	return err
}

// listen returns a listener on an IP address and port.
func listen(text string) (net.Listener, error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return nil, fmt.Errorf("listen: want an IP address and port, got %q", text)
	}
	return searcher.Listen(addr)
}
