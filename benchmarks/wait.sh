# Functions that wait with a time limit. The scripts in this folder source this file.

# Waits until FILE exists; fails if the process PID has ended or 30 s have passed. On an idle machine
# the stand-ins write their settings within 2 s.
wait_for_file() { # FILE PID
    local deadline=$((SECONDS + 30))
    while [ ! -f "$1" ]; do
        kill -0 "$2" 2> /dev/null || { echo "process $2 died before it wrote $1" >&2; return 1; }
        [ $SECONDS -lt $deadline ] || { echo "$1 is not there after 30 s" >&2; return 1; }
        sleep 0.2
    done
}

# Waits until the process PID has ended; fails if it still runs after SECONDS.
wait_for_end() { # PID SECONDS
    local deadline=$((SECONDS + $2))
    while kill -0 "$1" 2> /dev/null; do
        [ $SECONDS -lt $deadline ] || { echo "process $1 still runs after $2 s" >&2; return 1; }
        sleep 0.5
    done
}
