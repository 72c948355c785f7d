#!/usr/bin/env bash
# Measure what one daemon spends against one quantity at a time. Usage: slopes.sh OUT.jsonl
# Each line: what was varied, its value, the daemon's processor share, memory, calls and bytes.
set -euo pipefail
. benchmarks/wait.sh
out=$1
bin=.venv/bin
settle=${SETTLE_S:-10}
window=${WINDOW_S:-12}
port=22000
# SERIES="running starts" measures only these and keeps the other lines of OUT.
touch "$out"
if [ -n "${SERIES:-}" ]; then
    for name in $SERIES; do sed -i "/\"name\": \"$name\"/d" "$out"; done
else
    : > "$out"
fi

measure() { # NAME VALUE INSTANCES ARGS...
    local name=$1 value=$2 instances=$3
    shift 3
    port=$((port + 200))
    local folder=out/slopes/$name-$value
    local pids=()
    rm -rf "$folder"
    $bin/python benchmarks/standins_process.py "$folder" --instances "$instances" \
        --base_port $port "$@" 2> "/tmp/anvilflow-standins.log" &
    pids+=($!)
    wait_for_file "$folder/a$instances.json" "${pids[0]}"
    for number in $(seq 1 "$instances"); do
        $bin/anvilflow run "$folder/a$number.json" &
        pids+=($!)
    done
    sleep "$settle"
    $bin/python benchmarks/sample_daemon.py --pid "${pids[1]}" --name "$name" --value "$value" \
        --operators "127.0.0.1:$((port + 11))" --seconds "$window" >> "$out"
    kill -9 "${pids[@]}"
    wait "${pids[@]}" 2> /dev/null || true
}

wanted() { [ -z "${SERIES:-}" ] || [[ " $SERIES " == *" $1 "* ]]; }

if wanted workers; then for n in 0 4 8 16 32; do measure workers $n 1 --workers $n; done; fi
if wanted peers; then for n in 2 4 6 9; do measure peers $((n - 1)) $n --workers 8; done; fi
if wanted running; then
    for n in 0 400 800 1600; do measure running $n 1 --workers 8 --running $n; done
fi
# Fifty tasks on each worker: with 68 slots, less the reserve of a quarter, no worker takes more.
if wanted active; then
    for n in 4 8 16 32; do measure active $n 1 --workers $n --slots 68 --running $((50 * n)); done
fi
if wanted resources; then
    for n in 8 250 1000 3000; do measure resources $n 1 --workers 4 --customers $n; done
fi
if wanted starts; then for n in 0 5 10 20 40; do measure starts $n 1 --workers 8 --rate $n; done; fi
