#!/usr/bin/env bash
# Plays the case model-name. Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/embercoved ] && [ -x target/review-stand-2 ] || { echo "build the deploy file and review/build-2.sh first"; exit 2; }
exec target/review-stand-2 model-name target/embercoved review/7/record.txt
