package builder

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/urfave/cli/v3"

	"cornelwood.example/internal/cli/printer"
	"cornelwood.example/internal/cli/requester"
	"cornelwood.example/internal/contract/answerer"
	"cornelwood.example/internal/contract/declarer"
	"cornelwood.example/internal/settings/reader"
)

const (
	flagFile    = "file"
	flagChange  = "change"
	flagVersion = "version"
	flagIfNew   = "if-absent"
)

// Change is the body of an operator's call that writes an object.
type Change struct {
	Change  string            `json:"change"`
	Version uint64            `json:"version,omitempty"`
	Service *declarer.Service `json:"service,omitempty"`
	Zone    *declarer.Zone    `json:"zone,omitempty"`
	Set     map[string]string `json:"set,omitempty"`
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:        "service",
		Usage:       "create, change, delete and show services",
		Description: "Each change is accepted by the platform or refused; an accepted one is in force everywhere within seconds and never reverts.",
		Commands: []*cli.Command{
			{
				Name:        "create",
				Usage:       "create the zones and services of a schema file",
				Description: "Creates each zone and then each service of the file. An object that exists is a conflict, unless --if-absent is given.",
				Flags: operatorFlags(fileFlag(), changeFlag(),
					&cli.BoolFlag{Name: flagIfNew, Usage: "leave objects that exist as they are"}),
				Action: createServices,
			},
			{
				Name:        "change",
				Usage:       "replace a service by its declaration in a schema file",
				ArgsUsage:   "NAME",
				Description: "Replaces the service when --version is the version in force; else refuses and names that version.",
				Flags: operatorFlags(fileFlag(), changeFlag(),
					&cli.Uint64Flag{Name: flagVersion, Required: true, Usage: "version that the change rests on"}),
				Action: changeService,
			},
			{
				Name:        "set",
				Usage:       "change single settings of a service",
				ArgsUsage:   "NAME KEY=VALUE...",
				Description: "Keys are those of docs/SETTINGS.md under [service NAME]: deadline, latency, quantile, coverage, priority, hedge, slots, cold, connections.",
				Flags:       operatorFlags(changeFlag(), &cli.Uint64Flag{Name: flagVersion, Usage: "version that the change rests on; absent means any"}),
				Action:      setService,
			},
			deleteCommand("service", "services"),
			listCommand("service", "services"),
			showCommand("service", "services"),
		},
	}
}

func fileFlag() cli.Flag {
	return &cli.StringFlag{Name: flagFile, Required: true, Usage: "schema file"}
}

func changeFlag() cli.Flag {
	return &cli.StringFlag{Name: flagChange, Usage: "id of the change; absent means a new one. With the same id a change is applied once"}
}

// changeID returns the id that the flag gives, or a new one.
func changeID(cmd *cli.Command) string {
	if id := cmd.String(flagChange); id != "" {
		return id
	}
	return strings.ToLower(rand.Text())
}

func createServices(ctx context.Context, cmd *cli.Command) error {
	schema, err := reader.ReadSchema(cmd.String(flagFile))
	if err != nil {
		return err
	}
	c, id := operator(cmd), changeID(cmd)
	for i := range schema.Zones {
		in := Change{Change: id, Zone: &schema.Zones[i]}
		if err := createOne(ctx, cmd, c, "/v1/zones", in); err != nil {
			return fmt.Errorf("zone %q: %w", schema.Zones[i].Name, err)
		}
	}
	for i := range schema.Services {
		in := Change{Change: id, Service: &schema.Services[i]}
		if err := createOne(ctx, cmd, c, "/v1/services", in); err != nil {
			return fmt.Errorf("service %q: %w", schema.Services[i].Name, err)
		}
	}
	return nil
}

func createOne(ctx context.Context, cmd *cli.Command, c *requester.Requester, path string, in Change) error {
	err := call(ctx, cmd, c, http.MethodPost, path, in, printAccepted(cmd))
	var ref *answerer.RefusalError
	if errors.As(err, &ref) && ref.Code == answerer.CodeConflict && cmd.Bool(flagIfNew) {
		return nil
	}
	return err
}

func changeService(ctx context.Context, cmd *cli.Command) error {
	name, err := arg(cmd, 0, "NAME")
	if err != nil {
		return err
	}
	schema, err := reader.ReadSchema(cmd.String(flagFile))
	if err != nil {
		return err
	}
	for i := range schema.Services {
		if schema.Services[i].Name == name {
			in := Change{Change: changeID(cmd), Version: cmd.Uint64(flagVersion), Service: &schema.Services[i]}
			return call(ctx, cmd, operator(cmd), http.MethodPut, "/v1/services/"+name, in, printAccepted(cmd))
		}
	}
	return fmt.Errorf("service %q does not stand in %q", name, cmd.String(flagFile))
}

func setService(ctx context.Context, cmd *cli.Command) error {
	name, err := arg(cmd, 0, "NAME")
	if err != nil {
		return err
	}
	set := make(map[string]string)
	for _, pair := range cmd.Args().Tail() {
		key, value, ok := strings.Cut(pair, "=")
		if !ok {
			return fmt.Errorf("argument %q: want KEY=VALUE", pair)
		}
		set[key] = value
	}
	if len(set) == 0 {
		return fmt.Errorf("argument %q is missing; see %q", "KEY=VALUE", cmd.FullName()+" --help")
	}
	in := Change{Change: changeID(cmd), Version: cmd.Uint64(flagVersion), Set: set}
	return call(ctx, cmd, operator(cmd), http.MethodPost, "/v1/services/"+name+"/contract", in, printAccepted(cmd))
}

func printAccepted(cmd *cli.Command) func(*declarer.Object) error {
	return func(o *declarer.Object) error {
		_, err := fmt.Fprintf(cmd.Root().Writer, "accepted: %s at version %d\n", o.Key, o.Version)
		return err
	}
}

// deleteCommand deletes an object; plural is its name in the operator service's
// paths.
func deleteCommand(singular, plural string) *cli.Command {
	return &cli.Command{
		Name:        "delete",
		Usage:       "delete a " + singular,
		ArgsUsage:   "NAME",
		Description: "Deletes the " + singular + " when --version is the version in force; else refuses and names that version.",
		Flags: operatorFlags(changeFlag(),
			&cli.Uint64Flag{Name: flagVersion, Required: true, Usage: "version that the change rests on"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			name, err := arg(cmd, 0, "NAME")
			if err != nil {
				return err
			}
			in := Change{Change: changeID(cmd), Version: cmd.Uint64(flagVersion)}
			return call(ctx, cmd, operator(cmd), http.MethodDelete, "/v1/"+plural+"/"+name, in, printAccepted(cmd))
		},
	}
}

func listCommand(singular, plural string) *cli.Command {
	return &cli.Command{
		Name:        "list",
		Usage:       "list the " + plural,
		Description: "Lists each " + singular + " in force at the daemon asked, with its version.",
		Flags:       operatorFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return call(ctx, cmd, operator(cmd), http.MethodGet, "/v1/"+plural, nil, func(list *objectList) error {
				return printObjects(cmd, list.Objects)
			})
		},
	}
}

func showCommand(singular, plural string) *cli.Command {
	return &cli.Command{
		Name:        "show",
		Usage:       "show a " + singular + " as JSON",
		ArgsUsage:   "NAME",
		Description: "Prints the " + singular + " in force at the daemon asked, with its version and its last changes.",
		Flags:       operatorFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			name, err := arg(cmd, 0, "NAME")
			if err != nil {
				return err
			}
			return call(ctx, cmd, operator(cmd), http.MethodGet, "/v1/"+plural+"/"+name, nil, func(o *declarer.Object) error {
				return printer.JSON(cmd.Root().Writer, o)
			})
		},
	}
}

// objectList is the answer to a call that lists objects.
type objectList struct {
	Objects []declarer.Object `json:"objects"`
}

func printObjects(cmd *cli.Command, objs []declarer.Object) error {
	rows := make([][]string, 0, len(objs))
	for i := range objs {
		o := &objs[i]
		rows = append(rows, []string{o.Name, fmt.Sprint(o.Version), describe(o)})
	}
	return printer.Table(cmd.Root().Writer, []string{"NAME", "VERSION", "STATE"}, rows)
}

func describe(o *declarer.Object) string {
	switch {
	case o.Service != nil:
		m := o.Service.Maps[len(o.Service.Maps)-1]
		return fmt.Sprintf("%s, %d shards, %d upstreams, %d out", o.Service.Class, len(m.Shards), len(o.Service.Upstreams()), len(o.Service.Out))
	case o.Zone != nil && o.Zone.Out:
		return "out"
	case o.Zone != nil:
		return "in"
	default:
		return "deleted"
	}
}
