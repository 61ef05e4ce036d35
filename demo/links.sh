#!/usr/bin/env bash
# Measures the traffic of peer links between six idle instances, first with the log reachable for all of them, then with
# one cut off from it.
set -euo pipefail
. "$(dirname "$0")/lib.sh"
build
span=${SPAN_S:-20}
start_fake platform platform; platform=$address
start_servers plan-review engine 3 tunis sfax sousse
for region in tunis sfax sousse; do
    start_instance "$region-1" "$region"
    start_instance "$region-2" "$region"
done
open_environment samples/tahrir.ini tahrir 100000 registry >/dev/null
sum_sent() { # prints the bytes that all instances have sent to peers so far
    for address in "${callers[@]}"; do http GET "http://$address/metrics"; done |
        awk '/^coltsfootpick_peer_sent_bytes_total/ { sum += $2 } END { print sum }'
}
measure() { # LABEL: prints the peer traffic of the next SPAN_S seconds, by link and by instance
    local before after
    sleep 3
    before=$(sum_sent)
    sleep "$span"
    after=$(sum_sent)
    echo "$1: $(((after - before) / span / 15)) bytes a second a link, both ways; $(((after - before) / span / 6)) sent a second an instance"
}
measure "idle"
http POST "http://$platform/faults" '{"cut_off":["tunis-1"]}' >/dev/null
measure "one instance cut off from the log"
