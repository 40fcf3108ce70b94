# Sourced by other scripts: puts the pinned formatter and linter on the PATH
# and installs them through the Go module proxy if they are missing.
GOLANGCI_VERSION=v2.15.0
GOFUMPT_VERSION=v0.12.0
PATH="$(go env GOPATH)/bin:$PATH"
export PATH
if ! golangci-lint version 2>/dev/null | grep -q "${GOLANGCI_VERSION#v}"; then
  go install "github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$GOLANGCI_VERSION"
fi
if ! gofumpt -version 2>/dev/null | grep -q "$GOFUMPT_VERSION"; then
  go install "mvdan.cc/gofumpt@$GOFUMPT_VERSION"
fi
