#!/usr/bin/env bash
# Streams are asked for late in the grace period of a planned stop. Exits with 1 if one is passed on and cut off.
set -uo pipefail
cd "$(dirname "$0")/../.."
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
[ -x build-review-3/stoplatestreams ] && [ -x target/src/app/magnoliastream ] || exit 2
build-review-3/stoplatestreams review/11 "$folder"
