#!/bin/bash
# Builds the stand-ins of the second review into target/. It needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
mkdir -p ../../target
GOWORK=off go build -o ../../target/review-stand-2 .
