package layout

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall/settings"
)

// The names of the files and folders that Write creates.
const (
	documentsFolder     = "documents"
	daemonsFolder       = "daemons"
	planFile            = "plan.yaml"
	processFile         = "processes"
	operatorTokensFile  = "operator-tokens"
	operatorAddressFile = "operator" // contains the address of one daemon for operators
)

// operatorTokens is the content of the file of operator tokens, one line "TEAM TOKEN" for each team. The tokens are
// valid only in this deployment.
const operatorTokens = "lantern-vow lantern-vow-operator\nassociation association-operator\n"

// Write writes all files of the deployment to a folder.
func (l *Layout) Write(folder string) error {
	for _, name := range []string{documentsFolder, daemonsFolder} {
		if err := os.MkdirAll(filepath.Join(folder, name), 0o755); err != nil {
			return errors.Wrap(err, "create folder of the deployment")
		}
	}
	for _, s := range l.services {
		if err := writeYAML(filepath.Join(folder, documentsFolder, string(s.document.Service)+".yaml"), s.document); err != nil {
			return err
		}
	}
	for i := range l.daemons {
		path := filepath.Join(folder, daemonsFolder, string(l.daemons[i].id)+".yaml")
		if err := writeYAML(path, l.daemonSettings(&l.daemons[i], folder)); err != nil {
			return err
		}
	}
	if err := writeYAML(filepath.Join(folder, planFile), l.plan(folder)); err != nil {
		return err
	}
	if err := writeText(filepath.Join(folder, operatorTokensFile), operatorTokens); err != nil {
		return err
	}
	if err := writeText(filepath.Join(folder, operatorAddressFile), l.daemons[0].operatorAddress+"\n"); err != nil {
		return err
	}
	return writeText(filepath.Join(folder, processFile), l.processes(folder))
}

// daemonSettings returns the settings of a daemon, with all other daemons as seeds.
func (l *Layout) daemonSettings(d *daemon, folder string) settings.DocumentDaemon {
	seeds := make([]string, 0, len(l.daemons))
	for _, other := range l.daemons {
		if other.id != d.id {
			seeds = append(seeds, other.peerAddress)
		}
	}
	return settings.DocumentDaemon{
		ID:            d.id,
		Region:        region,
		FailureDomain: d.domain,
		Listen:        settings.Listen{Callers: d.callerAddress, Operators: d.operatorAddress, Peers: d.peerAddress},
		Seeds:         seeds,
		Platform: settings.Platform{
			Table:   l.addressOf(platformPort),
			Objects: l.addressOf(platformPort),
			Weights: l.addressOf(platformPort),
			VMList:  l.addressOf(platformPort),
		},
		OperatorTokensFile: filepath.Join(folder, operatorTokensFile),
		DrainTimeout:       drainTimeout,
		RoutingPolicy:      l.options.Routing.String(),
		LogLevel:           "info",
	}
}

// processes returns one line for each process: its name, program and arguments.
func (l *Layout) processes(folder string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "platform chicorystand platform -listen %s -vm-lag %v -control %s\n",
		l.addressOf(platformPort), vmListLag, l.controlAddress(0))
	for _, s := range l.services {
		for _, e := range l.endpointProcesses(&s) {
			fmt.Fprintln(&b, e)
		}
	}
	callers := make([]string, 0, len(l.daemons))
	for _, d := range l.daemons {
		fmt.Fprintf(&b, "%s chicoryhall serve -settings %s\n", d.id, filepath.Join(folder, daemonsFolder, string(d.id)+".yaml"))
		callers = append(callers, d.callerAddress)
	}
	fmt.Fprintf(&b, "balancer chicorystand balancer -listen %s %s\n", l.addressOf(balancerPort), strings.Join(callers, " "))
	return b.String()
}

func writeYAML(path string, value any) error {
	text, err := yaml.Marshal(value)
	if err != nil {
		return errors.Wrapf(err, "encode %s", path)
	}
	return writeText(path, string(text))
}

func writeText(path, text string) error {
	return errors.Wrap(os.WriteFile(path, []byte(text), 0o600), "write file of the deployment")
}
