package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	configv1 "github.com/fulmardoor/fulmardoor/api/config/v1"
	"github.com/fulmardoor/fulmardoor/internal/admin"
	"github.com/fulmardoor/fulmardoor/internal/document"
)

const (
	// propagationTimeout limits how long apply waits until all nodes use the new version.
	propagationTimeout      = 5 * time.Second
	propagationPollInterval = 100 * time.Millisecond
)

func documentCommand() *cli.Command {
	file := &cli.StringArg{Name: "file", UsageText: "FILE"}
	return &cli.Command{
		Name: "document", Usage: "check, compare, apply and show a team's document",
		Commands: []*cli.Command{
			{Name: "check", Usage: "check FILE without contacting a process", Arguments: []cli.Argument{file}, Action: checkDocument},
			{Name: "diff", Usage: "compare FILE with the version in the store", Arguments: []cli.Argument{file}, Action: diffDocument},
			{Name: "apply", Usage: "put FILE in force", Arguments: []cli.Argument{file}, Action: applyDocument},
			{Name: "show", Usage: "print the version in the store", Flags: []cli.Flag{teamFlag()}, Action: showDocument},
			{Name: "list", Usage: "list the documents in force", Action: listDocuments},
		},
	}
}

func readDocument(cmd *cli.Command) ([]byte, *configv1.Document, error) {
	name := cmd.StringArg("file")
	if name == "" {
		return nil, nil, errors.New("the argument FILE is missing")
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read document")
	}
	parsed, err := document.Parse(name, text)
	if err != nil {
		return nil, nil, err
	}
	return text, parsed, nil
}

func checkDocument(_ context.Context, cmd *cli.Command) error {
	_, parsed, err := readDocument(cmd)
	if err != nil {
		return err
	}
	fmt.Printf("document of team %s is valid: %d accounts, %d keys, %d routes, %d models, %d upstreams\n",
		parsed.GetHeader().GetTeam(), len(parsed.GetAccounts()), len(parsed.GetKeys()), len(parsed.GetRoutes()),
		len(parsed.GetModels()), len(parsed.GetUpstreams()))
	return nil
}

// printChanges prints the differences between the version in the store and parsed, and returns the store's revision.
func printChanges(ctx context.Context, cmd *cli.Command, parsed *configv1.Document) (int64, error) {
	team := parsed.GetHeader().GetTeam()
	oldText, revision, err := client(cmd).Document(ctx, team)
	if err != nil {
		return 0, err
	}
	old := &configv1.Document{}
	if revision > 0 {
		if old, err = document.Parse("store", oldText); err != nil {
			return 0, errors.Wrap(err, "version in the store")
		}
	}
	changes := document.Diff(old, parsed)
	for _, change := range changes {
		fmt.Println(change)
	}
	if len(changes) == 0 {
		fmt.Println("no changes")
	}
	return revision, nil
}

func diffDocument(ctx context.Context, cmd *cli.Command) error {
	_, parsed, err := readDocument(cmd)
	if err != nil {
		return err
	}
	revision, err := printChanges(ctx, cmd, parsed)
	if err != nil {
		return err
	}
	fmt.Printf("compared with revision %d\n", revision)
	return nil
}

func applyDocument(ctx context.Context, cmd *cli.Command) error {
	text, parsed, err := readDocument(cmd)
	if err != nil {
		return err
	}
	revision, err := printChanges(ctx, cmd, parsed)
	if err != nil {
		return err
	}
	return apply(ctx, cmd, parsed.GetHeader().GetTeam(), text, revision)
}

// apply writes a version of the document and reports the outcome. If it is not known whether the write took effect, the error
// says so.
func apply(ctx context.Context, cmd *cli.Command, team string, text []byte, revision int64) error {
	reply, err := client(cmd).Apply(ctx, team, text, revision)
	if err != nil {
		return err
	}
	switch reply.Outcome {
	case admin.OutcomeAccepted:
		return waitInForce(ctx, cmd, reply.Revision)
	case admin.OutcomeRejected:
		for _, fault := range reply.Faults {
			fmt.Fprintln(os.Stderr, fault)
		}
		return errors.New("rejected, nothing was changed")
	case admin.OutcomeLostRace:
		fmt.Fprintf(os.Stderr, "the document in the store is now at revision %d:\n%s\n", reply.Revision, reply.OtherText)
		return errors.New("lost a race with another change, nothing was changed; compare and apply again")
	default:
		return errors.Errorf("unknown whether the change took effect (%s); run document diff when the store answers again",
			reply.Detail)
	}
}

// waitInForce waits until every node uses a revision, or propagationTimeout has passed, and prints how many do.
func waitInForce(ctx context.Context, cmd *cli.Command, revision int64) error {
	var behind, total int
	for begin := time.Now(); time.Since(begin) < propagationTimeout; time.Sleep(propagationPollInterval) {
		status, err := client(cmd).Status(ctx)
		if err != nil {
			return err
		}
		behind, total = countBehind(status, uint64(revision))
		if behind == 0 {
			fmt.Printf("accepted at revision %d, in force on %d of %d nodes\n", revision, total, total)
			return nil
		}
	}
	fmt.Printf("accepted at revision %d, in force on %d of %d nodes; see fulmardoorctl status\n",
		revision, total-behind, total)
	return nil
}

// countBehind counts the nodes and those that do not yet use a revision. status.Nodes lacks the responding process, which is
// counted too.
func countBehind(status admin.Status, revision uint64) (behind, total int) {
	total = 1
	if status.Revision < revision {
		behind++
	}
	for _, node := range status.Nodes {
		total++
		if !node.Connected || node.Revision < revision {
			behind++
		}
	}
	return behind, total
}

func showDocument(ctx context.Context, cmd *cli.Command) error {
	text, revision, err := client(cmd).Document(ctx, cmd.String(flagTeam))
	if err != nil {
		return err
	}
	fmt.Printf("; revision %d\n%s", revision, text)
	return nil
}

func listDocuments(ctx context.Context, cmd *cli.Command) error {
	list, err := client(cmd).Documents(ctx)
	if err != nil {
		return err
	}
	for _, info := range list {
		fmt.Printf("%s\trevision %d\n", info.Team, info.Revision)
	}
	return nil
}
