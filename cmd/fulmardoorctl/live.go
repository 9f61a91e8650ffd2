package main

import (
	"context"
	"fmt"
	"net/url"
	"os"
	"strconv"
	"text/tabwriter"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/fulmardoor/fulmardoor/internal/admin"
	"github.com/fulmardoor/fulmardoor/internal/document"
)

func upstreamCommand() *cli.Command {
	name := &cli.StringArg{Name: "name", UsageText: "NAME"}
	order := []cli.Flag{
		&cli.StringFlag{Name: "load-model"}, &cli.StringFlag{Name: "version"},
		&cli.StringFlag{Name: "load-adapter"}, &cli.StringFlag{Name: "change-role", Usage: "prefill or decode"},
	}
	return &cli.Command{
		Name: "upstream", Usage: "list, drain and return upstreams, and send engine orders",
		Commands: []*cli.Command{
			{Name: "list", Usage: "print the live state", Action: listUpstreams},
			{Name: "drain", Usage: "send NAME no new requests until its sidecar restarts or upstream return is run", Arguments: []cli.Argument{name},
				Action: func(ctx context.Context, cmd *cli.Command) error { return sendOrder(ctx, cmd, "drain") }},
			{Name: "return", Usage: "put NAME back into service after drain", Arguments: []cli.Argument{name},
				Action: func(ctx context.Context, cmd *cli.Command) error { return sendOrder(ctx, cmd, "return") }},
			{Name: "leave", Usage: "declare NAME leaving in the team's document", Flags: []cli.Flag{teamFlag()},
				Arguments: []cli.Argument{name}, Action: setUpstreamState(document.StateLeaving)},
			{Name: "join", Usage: "declare NAME active in the team's document", Flags: []cli.Flag{teamFlag()},
				Arguments: []cli.Argument{name}, Action: setUpstreamState(document.StateActive)},
			{Name: "order", Usage: "send an engine order to NAME", Arguments: []cli.Argument{name}, Flags: order,
				Action: func(ctx context.Context, cmd *cli.Command) error { return sendOrder(ctx, cmd, "engine") }},
		},
	}
}

var errNoUpstreamName = errors.New("the argument NAME is missing; fulmardoorctl upstream list prints the names")

func setUpstreamState(state string) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		if cmd.StringArg("name") == "" {
			return errNoUpstreamName
		}
		return editDocument(ctx, cmd, func(text []byte) ([]byte, error) {
			return document.SetUpstreamState(text, cmd.StringArg("name"), state)
		})
	}
}

func sendOrder(ctx context.Context, cmd *cli.Command, kind string) error {
	name := cmd.StringArg("name")
	if name == "" {
		return errNoUpstreamName
	}
	reply, err := client(cmd).Order(ctx, name, kind, &admin.EngineOrder{
		LoadModel: cmd.String("load-model"), Version: cmd.String("version"),
		LoadAdapter: cmd.String("load-adapter"), ChangeRole: cmd.String("change-role"),
	})
	if err != nil {
		return err
	}
	if !reply.Accepted {
		return errors.Errorf("the sidecar of %s refused the order: %s", name, reply.Detail)
	}
	if reply.FencingNumber == 0 {
		fmt.Println("accepted without a fencing number: the key-value service does not respond")
	} else {
		fmt.Printf("accepted with fencing number %d\n", reply.FencingNumber)
	}
	if kind == "return" {
		return warnIfLeaving(ctx, cmd, name)
	}
	return nil
}

// warnIfLeaving prints a hint if the document still declares a returned upstream leaving, which keeps it out of service.
func warnIfLeaving(ctx context.Context, cmd *cli.Command, name string) error {
	list, err := client(cmd).Upstreams(ctx)
	if err != nil {
		return err
	}
	for _, u := range list {
		if u.Name == name && u.LeavingDeclared {
			fmt.Printf("%s gets no requests yet: the document declares it leaving; use upstream join\n", name)
		}
	}
	return nil
}

func listUpstreams(ctx context.Context, cmd *cli.Command) error {
	list, err := client(cmd).Upstreams(ctx)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "upstream\tpool\trole\tdata centre\tstate\tfree\tplaces\twaiting\tqueue ms\tgap ms\trevision")
	for _, u := range list {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%.1f\t%d\n", u.Name, u.Pool, u.Role, u.DataCentre,
			upstreamState(u), u.Free, u.Places, u.Waiting, u.QueueMs, u.TokenGapMs, u.Revision)
	}
	return table.Flush()
}

func upstreamState(u admin.UpstreamStatus) string {
	switch {
	case !u.Linked && u.LeavingDeclared:
		return "leaving (document)"
	case !u.Linked:
		return "seen by other entries"
	case !u.Connected:
		return "not connected"
	case u.Stalled:
		return "stalled"
	case u.LeavingDeclared:
		return "leaving (document)"
	case u.Leaving || !u.Accepting:
		return "leaving (order, start or stop)"
	default:
		return "accepting"
	}
}

func statusCommand() *cli.Command {
	return &cli.Command{Name: "status", Usage: "print nodes, configuration and ledger shards", Action: printStatus}
}

func printStatus(ctx context.Context, cmd *cli.Command) error {
	status, err := client(cmd).Status(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("%s on %s in %s: configuration revision %d, %s\n\n",
		status.Process, status.Host, status.DataCentre, status.Revision, status.State)
	printShare("worst-served account", status.WorstServed)
	printShare("least granted account", status.LeastGranted)
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "node\trole\tdata centre\tconnected\trevision\tin force")
	for _, n := range status.Nodes {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%d\t%t\n", n.Process, n.Role, n.DataCentre, n.Connected, n.Revision, n.InForce)
	}
	_, _ = fmt.Fprintln(table, "\nledger shard\towner\tsuccessor\tepoch\tstate")
	for _, s := range status.Shards {
		_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%d\t%s\n", s.Shard, s.Owner, s.Successor, s.Epoch, s.State)
	}
	return table.Flush()
}

func printShare(title string, share *admin.AccountShare) {
	if share != nil {
		fmt.Printf("%s in the last minute: %s, share %.3f\n", title, share.Account, share.Ratio)
	}
}

func eventsCommand() *cli.Command {
	return &cli.Command{
		Name: "events", Usage: "print the event timeline over all processes",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "request", Usage: "request `ID`, as in the header X-Request-Id"},
			&cli.StringFlag{Name: "upstream"},
			&cli.Uint64Flag{Name: "revision", Usage: "configuration revision"},
			&cli.BoolFlag{Name: "html", Usage: "print a self-contained HTML page"},
		},
		Action: printEvents,
	}
}

func printEvents(ctx context.Context, cmd *cli.Command) error {
	query := url.Values{}
	query.Set("request", cmd.String("request"))
	query.Set("upstream", cmd.String("upstream"))
	if revision := cmd.Uint64("revision"); revision > 0 {
		query.Set("revision", strconv.FormatUint(revision, 10))
	}
	if cmd.Bool("html") {
		query.Set("format", "html")
	}
	text, err := client(cmd).Events(ctx, query)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(text)
	return err
}
