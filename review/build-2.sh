#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, beside what the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-stand-2 ./review/stand-2
