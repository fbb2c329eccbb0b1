#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review. The build of the deploy file must have run before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review2 ./review/driver2
