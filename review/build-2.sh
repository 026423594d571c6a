#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. The programs of the project are built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/fleet ./review/_fleet2
