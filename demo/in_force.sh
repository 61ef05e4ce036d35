#!/usr/bin/env bash
# Measures, ten times, the time from an operator's command until the new version is in force at all six instances.
set -euo pipefail
export PROFILE=${PROFILE:-release}
. "$(dirname "$0")/lib.sh"
build

start_fake platform platform; platform=$address
start_servers plan-review engine 1 tunis
for region in tunis sfax sousse; do
    start_instance "$region-1" "$region"
    start_instance "$region-2" "$region"
done
all=()
for address in "${operators[@]}"; do all+=(--address "$address"); done
is_in_force() { # VERSION: succeeds if the version is in force at every instance
    "$bin/coltsfootpick" --operator nadia "${all[@]}" status | grep -q "tahrir: version $1 everywhere"
}
for round in $(seq 10); do
    start=$(date +%s%N)
    operator trial samples/tahrir.ini >/dev/null 2>&1
    until is_in_force "$round"; do sleep 0.005; done
    echo "version $round in force everywhere after $((($(date +%s%N) - start) / 1000000)) ms"
done
