#!/usr/bin/env bash
# Measures the resource use of idle daemons: nine instances as plain processes, 24 stand-in workers.
# Usage: idle.sh SECONDS
set -euo pipefail
. benchmarks/wait.sh
seconds=${1:-60}
bin=.venv/bin
folder=out/idle
port=26000
pids=()
trap 'kill -9 "${pids[@]}" 2> /dev/null || true' EXIT
rm -rf "$folder"
mkdir -p "$(dirname "$folder")"
$bin/python benchmarks/standins_process.py "$folder" --instances 9 --workers 24 --slots 8 \
    --base_port $port 2> /dev/null &
pids+=($!)
wait_for_file "$folder/a9.json" "${pids[0]}"
for number in $(seq 1 9); do
    $bin/anvilflow run "$folder/a$number.json" &
    pids+=($!)
done
sleep 12
for number in $(seq 1 9); do
    $bin/python benchmarks/sample_daemon.py --pid "${pids[$number]}" --name idle --value "$number" \
        --operators "127.0.0.1:$((port + 10 * number + 1))" --seconds "$seconds" \
        > "$folder/$number.row" &
    samplers[number]=$!
done
for sampler in "${samplers[@]}"; do wait_for_end "$sampler" $((seconds + 60)); done
wait "${samplers[@]}"
cat "$folder"/*.row > "$folder/rows.jsonl"
$bin/python benchmarks/show_idle.py "$folder/rows.jsonl"
