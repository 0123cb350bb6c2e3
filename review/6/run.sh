#!/usr/bin/env bash
# Answers of 64 KiB, written by their backends in pieces over 3 s, as many at once as clients may have open.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
for program in target/release/admission-gateway target/release/gatewayctl target/review-2/stand-ins; do
    [ -x "$program" ] || { echo "$program is missing: build first, then review/build-2.sh"; exit 2; }
done
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$folder"' EXIT
timeout --foreground --kill-after=5 110 target/review-2/stand-ins memory "$PWD" "$folder" "$here/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
