#!/usr/bin/env bash
# Runs a small fleet as separate processes on loopback, kills one instance under load, and prints the budgets.
set -euo pipefail
. "$(dirname "$0")/lib.sh"
build

start_fake platform platform; platform=$address
start_servers plan-review engine 3 tunis sfax sousse
start_servers migration plain 1 tunis
plain=$address
for region in tunis sfax sousse; do start_instance "$region-1" "$region"; done

echo "== open the market"
open_environment samples/tahrir.ini tahrir 100000 registry
echo "== load on three instances; sousse-1 is killed after two seconds"
"$bin/examples/demo_caller" "${callers[@]}" &
caller_pid=$!
sleep 2
kill -9 "${instance_pid[sousse-1]}"
wait "$caller_pid"
echo "== budgets after the kill"
sleep 0.5
operator budgets
run=$(operator --json budgets | "$bin/examples/holder_run" sousse-1)
if [ -n "$run" ]; then
    echo "== close the dead instance: what it held is in doubt"
    operator close sousse-1 "$run"
    operator budgets
fi
echo "== runs of the apply, as the application counted them"
http GET "http://$plain/runs"
echo "== calls that must not repeat"
operator attempts
echo "== planned stop of tunis-1"
kill "${instance_pid[tunis-1]}"
wait "${instance_pid[tunis-1]}" && echo "tunis-1 ended with exit code 0"
