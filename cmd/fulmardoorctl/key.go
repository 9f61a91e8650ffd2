package main

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/fulmardoor/fulmardoor/internal/document"
	"github.com/fulmardoor/fulmardoor/internal/keys"
)

func keyCommand() *cli.Command {
	name := &cli.StringFlag{Name: "name", Usage: "name of the key in the document", Required: true}
	account := &cli.StringFlag{Name: "account", Usage: "client account that the key stands for", Required: true}
	return &cli.Command{
		Name: "key", Usage: "generate, grant and withdraw keys",
		Commands: []*cli.Command{
			{Name: "generate", Usage: "print a new key and its hash", Action: generateKey},
			{Name: "grant", Usage: "add a new key to the document and print it once",
				Flags: []cli.Flag{teamFlag(), name, account}, Action: grantKey},
			{Name: "withdraw", Usage: "withdraw a key", Flags: []cli.Flag{teamFlag(), name}, Action: withdrawKey},
		},
	}
}

func generateKey(context.Context, *cli.Command) error {
	key, hash := keys.Generate()
	fmt.Printf("key    %s\nsha256 %s\n", key, hash)
	return nil
}

// editDocument applies a change to the version of the document in the store.
func editDocument(ctx context.Context, cmd *cli.Command, change func(text []byte) ([]byte, error)) error {
	team := cmd.String(flagTeam)
	text, revision, err := client(cmd).Document(ctx, team)
	if err != nil {
		return err
	}
	if revision == 0 {
		return errors.Errorf("team %s has no document", team)
	}
	changed, err := change(text)
	if err != nil {
		return err
	}
	return apply(ctx, cmd, team, changed, revision)
}

func grantKey(ctx context.Context, cmd *cli.Command) error {
	key, hash := keys.Generate()
	err := editDocument(ctx, cmd, func(text []byte) ([]byte, error) {
		return document.SetKey(text, cmd.String("name"), cmd.String("account"), hash)
	})
	if err != nil {
		return err
	}
	fmt.Println(key)
	return nil
}

func withdrawKey(ctx context.Context, cmd *cli.Command) error {
	return editDocument(ctx, cmd, func(text []byte) ([]byte, error) {
		return document.SetKeyState(text, cmd.String("name"), document.StateWithdrawn)
	})
}
