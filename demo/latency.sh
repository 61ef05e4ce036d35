#!/usr/bin/env bash
# Compares the latency of calls through one instance with that of direct calls to the plain service, all on loopback.
set -euo pipefail
export PROFILE=${PROFILE:-release}
. "$(dirname "$0")/lib.sh"
build

start_fake platform platform; platform=$address
start_servers plan-review engine 1 tunis
start_servers migration plain 1 tunis
plain=$address
start_instance tunis-1 tunis
sed 's/price-tokens = 50/price-tokens = 0/' samples/tahrir.ini >"$work/free.ini"
open_environment "$work/free.ini" tahrir 1000000 registry >/dev/null
for round in 1 2 3; do "$bin/examples/added_latency" "${callers[0]}" "$plain"; done
