#!/bin/bash
# Builds the stand-ins of all scripts into review/bin. It needs nothing but the Go toolchain.
set -eu
cd "$(dirname "$0")/stand"
GOWORK=off GOFLAGS= go build -o ../bin/stand .
