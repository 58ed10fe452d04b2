#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. The router itself is built by the
# build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/stage ./review/stage/platform
