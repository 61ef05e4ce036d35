#!/usr/bin/env bash
# Runs the operator's tasks of docs/OPERATING.md and prints each command with its output.
set -euo pipefail
. "$(dirname "$0")/lib.sh"
build >/dev/null

show() { # COMMAND...: runs an operator command and prints it with its output
    echo "\$ coltsfootpick $*"
    operator "$@" 2>&1 || echo "(exit code $?)"
    echo
}

start_fake platform platform; platform=$address
start_servers plan-review engine 3 tunis sfax sousse
start_servers migration plain 1 tunis
for region in tunis sfax sousse; do start_instance "$region-1" "$region"; done

show check samples/tahrir.ini
show trial samples/tahrir.ini
show --stage trial top-up tahrir rehearsal 5000
show promote tahrir
show top-up tahrir registry 100000
sed 's/grant-share-percent = 20/grant-share-percent = 30/' samples/tahrir.ini >"$work/next.ini"
show diff "$work/next.ini"
echo "# two operators race: both expect version 2"
show --expected 2 trial "$work/next.ini"
show --expected 2 promote tahrir
show history tahrir

for address in "${operators[@]}"; do wait_until has_budget "$address" registry; done
"$bin/examples/demo_caller" "${callers[@]}" >/dev/null &
caller_pid=$!
sleep 2
kill -9 "${instance_pid[sousse-1]}"
wait "$caller_pid"
sleep 1
echo "# sousse-1 was killed under load; another instance closes it after silence-ms"
show budgets
is_closed() { operator --json budgets | grep -q '"closed": true'; }
for _ in $(seq 400); do is_closed && break; sleep 0.1; done
show budgets
run=$(operator --json budgets | "$bin/examples/holder_run" sousse-1)
show --reason "process 4711 is gone, checked on the host" release tahrir registry sousse-1 "$run"
show budgets

echo "# all instances are replaced, one after another"
for region in tunis sfax; do
    start_instance "$region-2" "$region"
    kill "${instance_pid[$region-1]}"
    wait "${instance_pid[$region-1]}" && echo "$region-1 ended with exit code 0"
done
start_instance sousse-2 sousse
operators=("${operators[@]:3}")
show --address "${operators[1]}" --address "${operators[2]}" status
show budgets
show audit
show snapshot
