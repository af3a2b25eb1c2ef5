#!/usr/bin/env bash
# An instance gets SIGTERM while requesters read their answers slowly. Exits with 1 if an answer is cut off.
set -uo pipefail
cd "$(dirname "$0")/../.."
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
build-review-3/stopslowreaders review/11 "$folder"
