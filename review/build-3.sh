#!/bin/sh
# Builds the stand-ins of the third review into target/.
set -eu
cd "$(dirname "$0")/stand-3"
mkdir -p ../../target/review-3
GOWORK=off go build -o ../../target/review-3/stage .
