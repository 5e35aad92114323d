#!/bin/sh
# Builds the stand-ins and the program that plays the scripted cases 6 to 10. The program
# under test comes from the build line of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review2 ./review/harness2/platform
