.PHONY: test build
build:
	sh -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/service.toml)"
test: build
	@out=$$(gofmt -l cmd internal); if [ -n "$$out" ]; then echo "gofmt: $$out"; exit 1; fi
	go vet ./...
	go tool staticcheck -checks all $$(go list ./... | grep -v /peer/fb)
	go tool revive -config revive.toml -exclude internal/peer/fb/... ./cmd/... ./internal/...
	go test -race -timeout 60m ./...
	go test -run Fleet ./internal/standin
