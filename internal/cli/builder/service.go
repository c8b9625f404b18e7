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
	flagFile     = "file"
	flagChange   = "change"
	flagVersion  = "version"
	flagIfAbsent = "if-absent"
)

// changeRequest is the body of an operator's call that writes an object.
type changeRequest struct {
	ChangeID string            `json:"change"`
	Version  uint64            `json:"version,omitempty"`
	Service  *declarer.Service `json:"service,omitempty"`
	Zone     *declarer.Zone    `json:"zone,omitempty"`
	Set      map[string]string `json:"set,omitempty"`
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:        "service",
		Usage:       "create, change, delete and show services",
		Description: "The platform accepts or refuses each change; an accepted change is in force everywhere within seconds and is never reverted.",
		Commands: []*cli.Command{
			{
				Name:        "create",
				Usage:       "create the zones and services of a schema file",
				Description: "Creates each zone and then each service of the file. Fails with a conflict if an object exists, unless --if-absent is given.",
				Flags: operatorFlags(fileFlag(), changeFlag(),
					&cli.BoolFlag{Name: flagIfAbsent, Usage: "leave existing objects unchanged"}),
				Action: createServices,
			},
			{
				Name:        "change",
				Usage:       "replace a service by its declaration in a schema file",
				ArgsUsage:   "NAME",
				Description: "Replaces the service if --version is the version in force; otherwise fails and reports the version in force.",
				Flags: operatorFlags(fileFlag(), changeFlag(),
					&cli.Uint64Flag{Name: flagVersion, Required: true, Usage: "version that the change is based on"}),
				Action: changeService,
			},
			{
				Name:        "set",
				Usage:       "change individual settings of a service",
				ArgsUsage:   "NAME KEY=VALUE...",
				Description: "The keys are those in docs/SETTINGS.md under [service NAME]: deadline, latency, quantile, coverage, priority, hedge, slots, cold, connections.",
				Flags:       operatorFlags(changeFlag(), &cli.Uint64Flag{Name: flagVersion, Usage: "version that the change is based on; without it any version is accepted"}),
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
	return &cli.StringFlag{Name: flagChange, Usage: "id of the change, by default a new one; a change that is repeated with the same id is applied once"}
}

// changeID returns the value of the change flag, or a new random id.
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
	c, id := operatorClient(cmd), changeID(cmd)
	for i := range schema.Zones {
		in := changeRequest{ChangeID: id, Zone: &schema.Zones[i]}
		if err := createObject(ctx, cmd, c, "/v1/zones", in); err != nil {
			return fmt.Errorf("zone %q: %w", schema.Zones[i].Name, err)
		}
	}
	for i := range schema.Services {
		in := changeRequest{ChangeID: id, Service: &schema.Services[i]}
		if err := createObject(ctx, cmd, c, "/v1/services", in); err != nil {
			return fmt.Errorf("service %q: %w", schema.Services[i].Name, err)
		}
	}
	return nil
}

// createObject creates an object. With --if-absent a conflict with an existing object is no error.
func createObject(ctx context.Context, cmd *cli.Command, c *requester.Requester, path string, in changeRequest) error {
	err := callAndPrint(ctx, cmd, c, http.MethodPost, path, in, printAccepted(cmd))
	var ref *answerer.RefusalError
	if errors.As(err, &ref) && ref.Code == answerer.CodeConflict && cmd.Bool(flagIfAbsent) {
		return nil
	}
	return err
}

func changeService(ctx context.Context, cmd *cli.Command) error {
	name, err := requiredArg(cmd, 0, "NAME")
	if err != nil {
		return err
	}
	schema, err := reader.ReadSchema(cmd.String(flagFile))
	if err != nil {
		return err
	}
	for i := range schema.Services {
		if schema.Services[i].Name == name {
			in := changeRequest{ChangeID: changeID(cmd), Version: cmd.Uint64(flagVersion), Service: &schema.Services[i]}
			return callAndPrint(ctx, cmd, operatorClient(cmd), http.MethodPut, "/v1/services/"+name, in, printAccepted(cmd))
		}
	}
	return fmt.Errorf("service %q is not declared in %q", name, cmd.String(flagFile))
}

func setService(ctx context.Context, cmd *cli.Command) error {
	name, err := requiredArg(cmd, 0, "NAME")
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
	in := changeRequest{ChangeID: changeID(cmd), Version: cmd.Uint64(flagVersion), Set: set}
	return callAndPrint(ctx, cmd, operatorClient(cmd), http.MethodPost, "/v1/services/"+name+"/contract", in, printAccepted(cmd))
}

func printAccepted(cmd *cli.Command) func(*declarer.Object) error {
	return func(o *declarer.Object) error {
		_, err := fmt.Fprintf(cmd.Root().Writer, "accepted: %s at version %d\n", o.Key, o.Version)
		return err
	}
}

// deleteCommand returns the command that deletes an object of a kind. plural is the kind's name in the paths of the
// operator service.
func deleteCommand(singular, plural string) *cli.Command {
	return &cli.Command{
		Name:        "delete",
		Usage:       "delete a " + singular,
		ArgsUsage:   "NAME",
		Description: "Deletes the " + singular + " if --version is the version in force; otherwise fails and reports the version in force.",
		Flags: operatorFlags(changeFlag(),
			&cli.Uint64Flag{Name: flagVersion, Required: true, Usage: "version that the change is based on"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			name, err := requiredArg(cmd, 0, "NAME")
			if err != nil {
				return err
			}
			in := changeRequest{ChangeID: changeID(cmd), Version: cmd.Uint64(flagVersion)}
			return callAndPrint(ctx, cmd, operatorClient(cmd), http.MethodDelete, "/v1/"+plural+"/"+name, in, printAccepted(cmd))
		},
	}
}

// listCommand returns the command that lists the objects of a kind.
func listCommand(singular, plural string) *cli.Command {
	return &cli.Command{
		Name:        "list",
		Usage:       "list the " + plural,
		Description: "Lists each " + singular + " in force at the daemon, with its version.",
		Flags:       operatorFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return callAndPrint(ctx, cmd, operatorClient(cmd), http.MethodGet, "/v1/"+plural, nil, func(list *objectList) error {
				return printObjects(cmd, list.Objects)
			})
		},
	}
}

// showCommand returns the command that prints an object of a kind.
func showCommand(singular, plural string) *cli.Command {
	return &cli.Command{
		Name:        "show",
		Usage:       "show a " + singular + " as JSON",
		ArgsUsage:   "NAME",
		Description: "Prints the " + singular + " in force at the daemon, with its version and its last changes.",
		Flags:       operatorFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			name, err := requiredArg(cmd, 0, "NAME")
			if err != nil {
				return err
			}
			return callAndPrint(ctx, cmd, operatorClient(cmd), http.MethodGet, "/v1/"+plural+"/"+name, nil, func(o *declarer.Object) error {
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
		rows = append(rows, []string{o.Name, fmt.Sprint(o.Version), describeState(o)})
	}
	return printer.Table(cmd.Root().Writer, []string{"NAME", "VERSION", "STATE"}, rows)
}

// describeState returns an object's state in a few words, for a table.
func describeState(o *declarer.Object) string {
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
