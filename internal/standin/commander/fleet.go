package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/settings/reader"
	"cornelwood.example/internal/standin/searcher"
)

func fleetCommand(out io.Writer) *cli.Command {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "objects", Usage: "`FILE` with a JSON list of objects; runs the upstreams of its services"},
		&cli.StringFlag{Name: "schema", Usage: "schema `FILE` to use instead of objects"},
		&cli.BoolFlag{Name: "any-port", Usage: "listen on free ports instead of the declared ones"},
		&cli.StringMapFlag{Name: "connect", Usage: "`SERVICE=DURATION` that replaces connect-delay for a service"},
	}
	return &cli.Command{
		Name:  "fleet",
		Usage: "runs the searchers of many services in one process",
		Flags: append(flags, behaviourFlags()...),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runFleet(ctx, cmd, out)
		},
	}
}

func runFleet(ctx context.Context, cmd *cli.Command, out io.Writer) error {
	cfg, err := fleetConfig(cmd)
	if err != nil {
		return err
	}
	services, err := readDeclaredServices(cmd)
	if err != nil {
		return err
	}
	f, cleanup, err := searcher.NewFleet(cfg, services)
	if err != nil {
		return err
	}
	defer cleanup()
	if err := announce(out, cmd.String("ready-file"), fleetLines(f)); err != nil {
		return err
	}
	return waitAndStop(ctx, nil, f.Shutdown)
}

// fleetConfig returns the settings that the flags set.
func fleetConfig(cmd *cli.Command) (searcher.FleetConfig, error) {
	template, err := behaviourConfig(cmd)
	if err != nil {
		return searcher.FleetConfig{}, err
	}
	delays := make(map[string]time.Duration)
	for service, text := range cmd.StringMap("connect") {
		d, err := time.ParseDuration(text)
		if err != nil {
			return searcher.FleetConfig{}, fmt.Errorf("connect: service %q: %w", service, err)
		}
		delays[service] = d
	}
	configure := func(s *declarer.Service, _ declarer.Upstream, c *searcher.Config) {
		if d, ok := delays[s.Name]; ok {
			c.ConnectDelay = d
		}
	}
	return searcher.FleetConfig{Template: template, Configure: configure, AnyPort: cmd.Bool("any-port")}, nil
}

// readDeclaredServices returns the services in the file that the flags objects or schema name.
func readDeclaredServices(cmd *cli.Command) ([]declarer.Service, error) {
	objects, schema := cmd.String("objects"), cmd.String("schema")
	if (objects == "") == (schema == "") {
		return nil, fmt.Errorf("want exactly one of objects and schema")
	}
	if objects != "" {
		return readServices(objects)
	}
	parsed, err := reader.ReadSchema(schema)
	if err != nil {
		return nil, err
	}
	return parsed.Services, nil
}

// readServices returns the services in a file with a JSON list of objects. It skips deleted ones and returns an error
// when none are left.
func readServices(path string) ([]declarer.Service, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("objects: %w", err)
	}
	var raw []json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, fmt.Errorf("objects: %s: want a JSON list: %w", path, err)
	}
	var services []declarer.Service
	for i, r := range raw {
		o, err := declarer.DecodeObject(r)
		if err != nil {
			return nil, fmt.Errorf("objects: %s: object %d: %w", path, i, err)
		}
		if o.Kind == declarer.KindService && !o.Deleted {
			services = append(services, *o.Service)
		}
	}
	if len(services) == 0 {
		return nil, fmt.Errorf("objects: %s: want at least one service", path)
	}
	return services, nil
}

// fleetLines returns a line "listening ADDR SERVICE/UPSTREAM" for each searcher, followed by "ready".
func fleetLines(f *searcher.Fleet) []string {
	var lines []string
	for _, s := range f.Services() {
		for _, u := range s.Upstreams() {
			lines = append(lines, fmt.Sprintf("listening %s %s/%s", u.Addr, s.Name, u.Name))
		}
	}
	return append(lines, "ready")
}
