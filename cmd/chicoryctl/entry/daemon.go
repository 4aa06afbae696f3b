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

// tokenVariable is the name of the environment variable that holds the token of the operator's team.
const tokenVariable = "CHICORYCTL_TOKEN"

// daemonDetail is the part of the usage text that all verbs with a daemon share.
const daemonDetail = "The token of your team is read from the environment variable " + tokenVariable + ",\n" +
	"or from the file of -token-file. Any daemon will do."

// daemonFlags are the flags for connecting to a daemon.
type daemonFlags struct {
	server    *string
	tokenFile *string
	roots     *string
}

func addDaemonFlags(flags *flag.FlagSet) daemonFlags {
	return daemonFlags{
		server:    flags.String("server", "127.0.0.1:8081", "the operator `ADDRESS` of a daemon, IP:PORT"),
		tokenFile: flags.String("token-file", "", "a `FILE` that contains the token, used if "+tokenVariable+" is not set"),
		roots:     flags.String("roots", "", "a `FILE` of PEM certificates to trust; enables TLS"),
	}
}

// client returns a client for the daemon given by the flags.
func (f daemonFlags) client() (*operator.Client, error) {
	token, err := f.token()
	if err != nil {
		return nil, err
	}
	var roots []byte
	if *f.roots != "" {
		if roots, err = os.ReadFile(*f.roots); err != nil {
			return nil, errors.Wrap(err, "read root certificates")
		}
	}
	return operator.NewClient(*f.server, token, roots)
}

func (f daemonFlags) token() (string, error) {
	if token := os.Getenv(tokenVariable); token != "" {
		return token, nil
	}
	if *f.tokenFile == "" {
		return "", errors.Errorf("no token: set %s, or name a file with -token-file", tokenVariable)
	}
	text, err := os.ReadFile(*f.tokenFile)
	return strings.TrimSpace(string(text)), errors.Wrap(err, "read token")
}

// serviceVerb returns the New function of a verb with the argument SERVICE that connects to a daemon and runs show.
func serviceVerb(
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
