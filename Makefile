LINT = go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
GOPLS = go run golang.org/x/tools/gopls@v0.22.0

.PHONY: build demo test check fmt bench regress rename

build:
	go build -o bin/ ./cmd/...

demo:
	go run ./cmd/cowslipstream demo

# The tests with real processes run alone, because their deadlines are the stated targets of a node with its own processor.
# A failure of one part does not hide the results of the others.
test:
	@failed=0; \
	.ci/test $$(go list ./... | grep -vE '/(csproof|cssoak|cscrowd)$$') || failed=1; \
	.ci/test ./csproof || failed=1; \
	.ci/test ./platform/cssoak || failed=1; \
	.ci/test ./platform/cscrowd || failed=1; \
	exit $$failed

check:
	@unformatted="$$(gofmt -l .)"; if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	go vet ./...
	$(LINT) run ./...

fmt:
	gofmt -w .

bench:
	go run ./cmd/csbench slopes
	go run ./cmd/csbench memory

# The deployments of the regression runs, as site files below SYSTEM. The bench of the users is BENCH.
REGRESSION = sites/niebla-jujuy sites/oppl-breizh further/labtorlo-sched further-grown/labtorlo-sched-grown grown/niebla-jujuy-grown grown/oppl-breizh-grown large/niebla-jujuy-large

# Scores them one after the other: make regress BENCH=fleetbench SYSTEM=folder WHY="reason for the journal". Processor time is
# measured, so the machine must be idle; a deployment of hundreds of VMs is played one day at a time.
regress:
	@for site in $(REGRESSION); do \
		case $$site in large/*) jobs=1;; *) jobs=2;; esac; \
		$(BENCH) score $(SYSTEM)/$$site.toml --jobs $$jobs --why "$(WHY)" || exit 1; \
	done

# Renames an identifier and every use of it: make rename AT=csraft/event.go:62:6 TO=Name
rename:
	$(GOPLS) rename -w $(AT) $(TO)
