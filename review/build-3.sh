#!/bin/sh
# Builds the stand-ins and scripts of the review cases 11 to 13, after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/harness-3 ./review/harness3/platform
