# Functions that start fake servers and instances as separate processes on loopback; sourced by the other scripts.
cd "$(dirname "${BASH_SOURCE[0]}")/.."
profile=${PROFILE:-debug}
build() {
    local flag=()
    [ "$profile" = release ] && flag=(--release)
    cargo build --quiet "${flag[@]}" --bins
    cargo build --quiet "${flag[@]}" -p coltsfootpick-testkit --examples
}
bin=target/$profile
work=$(mktemp -d)
pids=()
stop_all() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT

http() { # METHOD URL [BODY]: prints the body of the response; fails unless the status is 2xx
    "$bin/examples/http" "$@"
}
wait_until() { # COMMAND...: repeats the command until it succeeds, for up to 10 s
    for _ in $(seq 200); do "$@" >/dev/null 2>&1 && return; sleep 0.05; done
    echo "timed out: $*" >&2
    exit 1
}
start_fake() { # NAME EXAMPLE: starts a fake server and sets `address` to the address on which it listens
    "$bin/examples/$2" 127.0.0.1:0 >"$work/$1" &
    pids+=($!)
    wait_until test -s "$work/$1"
    address=$(cat "$work/$1")
}
list_server() { # NAME SERVICE ADDRESS REGION: adds a server to the instance list
    http PUT "http://$platform/instances/$1" \
        "{\"name\":\"$1\",\"service\":\"$2\",\"address\":\"$3\",\"zone\":\"$4-a\",\"region\":\"$4\",\"state\":\"live\"}" >/dev/null
}
start_servers() { # SERVICE EXAMPLE COUNT REGION...: starts COUNT servers and lists them across the regions
    local service=$1 example=$2 count=$3 index
    shift 3
    local regions=("$@")
    for index in $(seq "$count"); do
        start_fake "$service-$index" "$example"
        list_server "$service-$index" "$service" "$address" "${regions[$((index % ${#regions[@]}))]}"
    done
}
callers=()
operators=()
declare -A instance_pid
start_instance() { # NAME REGION: starts an instance and waits until it is ready
    set -- "$1" "$2" $("$bin/examples/free_ports" 3)
    sed -e "s/^name = .*/name = $1/" -e "s/^zone = .*/zone = $2-a/" -e "s/^region = .*/region = $2/" \
        -e "s/^callers = .*/callers = 127.0.0.1:$3/" -e "s/^operators = .*/operators = 127.0.0.1:$4/" \
        -e "s/^peers = .*/peers = 127.0.0.1:$5/" -e "s/^log = .*/log = $platform/" -e "s/^list = .*/list = $platform/" \
        samples/instance.ini >"$work/$1.ini"
    callers+=("127.0.0.1:$3")
    operators+=("127.0.0.1:$4")
    list_server "$1" coltsfootpick "127.0.0.1:$5" "$2"
    "$bin/coltsfootpickd" --config "$work/$1.ini" 2>"$work/$1.log" &
    instance_pid[$1]=$!
    pids+=($!)
    wait_until http GET "http://127.0.0.1:$3/readyz"
}
export COLTSFOOTPICK_KEY=operator-key
operator() { # ARGUMENTS...: runs an operator command at the first instance
    "$bin/coltsfootpick" --operator nadia --address "${operators[0]}" "$@"
}
has_budget() { # ADDRESS ACCOUNT: succeeds if the instance knows the account's budget
    "$bin/coltsfootpick" --operator nadia --address "$1" budgets | grep -q "$2"
}
open_environment() { # DOCUMENT ENVIRONMENT TOKENS ACCOUNT...: promotes a document and tops up its accounts by TOKENS each
    local document=$1 environment=$2 tokens=$3 account address
    shift 3
    operator trial "$document"
    operator promote "$environment"
    for account in "$@"; do operator top-up "$environment" "$account" "$tokens"; done
    for address in "${operators[@]}"; do
        for account in "$@"; do wait_until has_budget "$address" "$account"; done
    done
}
