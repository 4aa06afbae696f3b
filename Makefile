PROGRAMS := chicoryhall chicoryctl chicorystand chicorybench
MODULES := . ./cmd/chicoryhall ./cmd/chicoryctl ./cmd/chicorystand ./cmd/chicorybench
PACKAGES := ./... ./cmd/chicoryhall/... ./cmd/chicoryctl/... ./cmd/chicorystand/... ./cmd/chicorybench/...
GO_FILES = $(shell git ls-files '*.go' ':!*_enumer.go')

.PHONY: build test race prove soak upgrade mutate lint generate demo demo-platform measure capacity

# build puts the four programs into bin/.
build:
	@mkdir -p bin
	@for program in $(PROGRAMS); do go build -o bin/$$program ./cmd/$$program || exit 1; done

# test runs all tests except those in KNOWN-RED.txt. Some tests start the programs, so these are built first.
test: build
	go test -timeout 900s -skip "$$(bash scripts/known-red)" $(PACKAGES)

# race runs the tests of packages that goroutines share under the race detector; their runs are short.
race:
	go test -race -timeout 300s ./tcp ./neighbour ./follow ./lease ./mailbox ./idle ./timer ./relay ./claim ./retry ./memory ./requests

# prove runs all proofs, which are tests with real processes and injected faults, also those in KNOWN-RED.txt, and writes
# docs/PROOFS.md.
prove:
	bash scripts/prove

# soak injects random faults into the daemon for the users' platform. It does RUNS runs, with the seeds from
# SEED on (by default the current time), and injects faults for SECONDS in each.
soak:
	SOAK_SEED=$(or $(SEED),$(shell date +%s)) SOAK_RUNS=$(or $(RUNS),5) SOAK_SECONDS=$(SECONDS) \
		go test -count=1 -timeout 3600s -run '^TestSoak$$' -v ./proof

# demo-platform is one such run with seed 1: it starts the simulated platform of the users with daemons, sends load while it
# injects faults, and checks the answers.
demo-platform:
	SOAK_SEED=1 go test -count=1 -run '^TestSoak$$' -v ./proof

# mutate prints which changed operators the tests of packages that only make decisions do not detect. MUTATED lists the
# packages.
mutate:
	bash scripts/mutate $(MUTATED)

# lint checks the format, names, suspicious code, package boundaries, and that generated files are current.
lint:
	@unformatted=$$(go tool gofumpt -l $(GO_FILES)); \
	if [ -n "$$unformatted" ]; then echo "gofumpt would change:"; echo "$$unformatted"; exit 1; fi
	go tool revive -config revive.toml $(PACKAGES)
	go vet $(PACKAGES)
	bash scripts/check-boundary
	bash scripts/check-generated

# generate writes the generated code, and the pages that the programs print.
generate: build
	go generate ./...
	bash scripts/make-docs docs

# demo starts the services of both users on this machine, sends load while it injects faults, and checks the answers.
demo: build
	bash scripts/demo

# capacity measures how costs grow with the size of a deployment, and writes docs/CAPACITY.md.
capacity: build
	bash scripts/capacity

# measure executes the runs of docs/MEASUREMENTS.md and writes that page.
measure: build
	bash scripts/measure

# upgrade replaces the daemons of the build of commit FROM by present ones, one after the other, under load.
upgrade:
	UPGRADE_FROM=$(FROM) go test -count=1 -timeout 900s -run '^TestUpgradeLosesNoRequest$$' -v ./proof
