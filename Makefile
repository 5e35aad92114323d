# Targets of the README: demo, test, fuzz, bench, soak.

GO      ?= go
BIN     := $(CURDIR)/bin
TOOLS   := $(BIN)/tools
LINT    := $(TOOLS)/gofumpt $(TOOLS)/staticcheck
GEN     := $(TOOLS)/buf $(TOOLS)/protoc-gen-go $(TOOLS)/protoc-gen-twirp
SOURCES := $(shell git ls-files -co --exclude-standard '*.go' | grep -vE '\.pb\.go$$|\.twirp\.go$$')

.PHONY: build demo test fuzz bench soak format lint generate check-generated unit clean

build:
	$(GO) build -o $(BIN)/ ./cmd/...

test: lint check-generated unit

format: $(TOOLS)/gofumpt
	$(TOOLS)/gofumpt -w $(SOURCES)

lint: $(LINT)
	@out="$$($(TOOLS)/gofumpt -l $(SOURCES))"; if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi
	@! git grep -n 'synctest\.Test(' -- '*.go' ':!internal/virtualtime' || { echo "use virtualtime.Test"; exit 1; }
	$(GO) vet ./...
	$(TOOLS)/staticcheck ./...

unit:
	GO=$(GO) ./scripts/unit.sh

generate: $(GEN)
	PATH="$(TOOLS):$$PATH" $(TOOLS)/buf generate

check-generated: $(GEN)
	@rm -rf $(BIN)/_generated && mkdir -p $(BIN)/_generated
	@PATH="$(TOOLS):$$PATH" $(TOOLS)/buf generate -o $(BIN)/_generated
	@cd $(BIN)/_generated/api && find . -name '*.go' | while read -r f; do \
		cmp -s "$$f" "$(CURDIR)/api/$$f" || { echo "generated code is not up to date: api/$$f"; exit 1; }; done

fuzz:
	./scripts/fuzz.sh

bench: build
	./scripts/bench.sh

# Plays SOAK_SEEDS seeds from SOAK_FIRST on, with SOAK_SECONDS of faults each.
soak:
	SOAK_SEEDS=$${SOAK_SEEDS:-50} SOAK_FIRST=$${SOAK_FIRST:-$$(date +%s)} SOAK_SECONDS=$${SOAK_SECONDS:-12} \
		$(GO) test ./soak -run 'TestSoak|TestStreamsAreNotJoined|TestStreamsOfALostEntry|TestStreamsOfLostEntries|TestAnswersCutEarly' -timeout 60m -v

demo: build
	./scripts/demo.sh

$(TOOLS)/gofumpt: tools/lint/go.mod
	cd tools/lint && $(GO) build -o $@ mvdan.cc/gofumpt

$(TOOLS)/gopls: tools/rename/go.mod
	cd tools/rename && $(GO) build -o $@ golang.org/x/tools/gopls

$(TOOLS)/staticcheck: tools/lint/go.mod
	cd tools/lint && $(GO) build -o $@ honnef.co/go/tools/cmd/staticcheck

$(TOOLS)/buf: tools/gen/go.mod
	cd tools/gen && $(GO) build -o $@ github.com/bufbuild/buf/cmd/buf

$(TOOLS)/protoc-gen-go: tools/gen/go.mod
	cd tools/gen && $(GO) build -o $@ google.golang.org/protobuf/cmd/protoc-gen-go

$(TOOLS)/protoc-gen-twirp: tools/gen/go.mod
	cd tools/gen && $(GO) build -o $@ github.com/twitchtv/twirp/protoc-gen-twirp

clean:
	rm -rf $(BIN)
