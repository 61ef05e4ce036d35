#!/usr/bin/env bash
# Starts the deployment of one of the users on loopback, generates its load, and prints latencies and budgets:
# demo/measure.sh tahrir|swan [SECONDS [SCALE]]
set -euo pipefail
profile_name=${1:?tahrir or swan}
seconds=${2:-10}
scale=${3:-1.0}
export PROFILE=${PROFILE:-release}
. "$(dirname "$0")/lib.sh"
build
. "demo/$profile_name.conf"

start_fake platform platform; platform=$address
for service in "${engine_services[@]}"; do start_servers "$service" engine "$engines_per_service" "${regions[@]}"; done
start_servers "$plain_service" plain "$plain_count" "${regions[@]}"
for region in "${regions[@]}"; do
    start_instance "$region-1" "$region"
    start_instance "$region-2" "$region"
done
open_environment "samples/$profile_name.ini" "$profile_name" "$budget_tokens" "${accounts[@]}" >/dev/null
before=$(http GET "http://$platform/appends")
"$bin/examples/load" --profile "$profile_name" --seconds "$seconds" --scale "$scale" --json "${REPORT:-$work/report.json}" "${callers[@]}"
sleep 1
after=$(http GET "http://$platform/appends")
echo "log appends during the load: $((after - before))"
operator budgets
