package entry

import (
	"context"
	"flag"
	"os"
	"strings"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/command"
	"chicoryhall.example/chicoryhall/operator"
)

// environmentToken names the environment variable with the operator's token.
const environmentToken = "CHICORYCTL_TOKEN"

// daemonDetail is the usage text of every verb that asks a daemon.
const daemonDetail = "The token of your team is read from the environment variable " + environmentToken + ",\n" +
	"or from the file of -token-file. Any daemon will do."

// daemonFlags tell how to reach a daemon.
type daemonFlags struct {
	server    *string
	tokenFile *string
	roots     *string
}

func addDaemonFlags(flags *flag.FlagSet) daemonFlags {
	return daemonFlags{
		server:    flags.String("server", "127.0.0.1:8081", "the operators' `ADDRESS` of a daemon, IP:PORT"),
		tokenFile: flags.String("token-file", "", "a `FILE` that holds the token, used when "+environmentToken+" is not set"),
		roots:     flags.String("roots", "", "a `FILE` of PEM certificates to trust; the daemon is then called over TLS"),
	}
}

// client returns a client of the daemon that the flags name.
func (f daemonFlags) client() (*operator.Client, error) {
	token, err := f.token()
	if err != nil {
		return nil, err
	}
	var roots []byte
	if *f.roots != "" {
		if roots, err = os.ReadFile(*f.roots); err != nil {
			return nil, errors.Wrap(err, "read roots")
		}
	}
	return operator.NewClient(*f.server, token, roots)
}

func (f daemonFlags) token() (string, error) {
	if token := os.Getenv(environmentToken); token != "" {
		return token, nil
	}
	if *f.tokenFile == "" {
		return "", errors.Errorf("no token: set %s, or name a file with -token-file", environmentToken)
	}
	text, err := os.ReadFile(*f.tokenFile)
	return strings.TrimSpace(string(text)), errors.Wrap(err, "read token")
}

// showsService makes a verb of one SERVICE that asks a daemon and prints what show writes.
func showsService(
	show func(ctx context.Context, streams command.Streams, client *operator.Client, service chicoryhall.ServiceName) error,
) func(flags *flag.FlagSet) command.Run {
	return func(flags *flag.FlagSet) command.Run {
		daemon := addDaemonFlags(flags)
		return func(ctx context.Context, streams command.Streams, arguments []string) error {
			service, err := oneArgument(arguments, "SERVICE")
			if err != nil {
				return err
			}
			client, err := daemon.client()
			if err != nil {
				return err
			}
			return show(ctx, streams, client, chicoryhall.ServiceName(service))
		}
	}
}
