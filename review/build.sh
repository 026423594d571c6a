#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases start. It is run after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/_standin
