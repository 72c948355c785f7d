#!/usr/bin/env bash
# Runs nine daemons as plain processes under load. One is killed and later restarted, one is stopped
# for longer than every lease and continued, one is drained. Exits with 1 if an invariant is violated.
set -euo pipefail
. benchmarks/wait.sh
bin=.venv/bin
folder=out/processes
port=28000
rm -rf "$folder"
mkdir -p "$(dirname "$folder")"
pids=()
trap 'kill -9 "${pids[@]}" 2> /dev/null || true' EXIT
$bin/python benchmarks/standins_process.py "$folder" --instances 9 --workers 24 --slots 8 \
    --base_port $port --load_s 60 2> "$folder.log" &
judge=$!
pids+=($judge)
wait_for_file "$folder/a9.json" $judge || { cat "$folder.log"; exit 1; }
run() {
    $bin/anvilflow run "$folder/a$1.json" &
    pids[$1]=$!
}
for number in $(seq 1 9); do run "$number"; done
sleep 14
echo "kill -9 a2"
kill -9 "${pids[2]}"
sleep 4
echo "stop a3 (SIGSTOP)"
kill -STOP "${pids[3]}"
sleep 8
echo "start a2 again"
run 2
sleep 12
echo "continue a3 (SIGCONT)"
kill -CONT "${pids[3]}"
sleep 8
echo "drain a4 (SIGTERM)"
kill -TERM "${pids[4]}"
wait_for_end "${pids[4]}" 60
wait "${pids[4]}" && echo "a4 ended with status 0"
# The stand-ins send load for 60 s and then let all jobs end, which took at most another 60 s.
wait_for_end $judge 180
wait $judge
