#!/usr/bin/env bash
# run-case.sh MODULE FOLDER: plays a case. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run or was ended.
set -u
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=.
timeout -k 5 110 python3 -m "review.standins3.$1" "$2" &
player=$!

# `timeout` leads a process group of its own, to which all processes of the case belong.
# It is empty unless the player was killed.
end_group() {
    kill -KILL -- "-$player" 2>/dev/null
}

trap 'kill -TERM "$player"; wait "$player"; end_group; exit 2' TERM INT HUP
wait "$player"
code=$?
end_group
case $code in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
