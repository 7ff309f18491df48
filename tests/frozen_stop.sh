#!/usr/bin/env bash
# Suspends a process (SIGSTOP) whose entry stops, at several moments. Callers of other processes send requests on
# connections that were open before, while it is suspended; each gets an answer, and the stop ends in time.
# usage: frozen_stop.sh PLUMSPOKE_UNIT [SUSPEND_AT:FOR_SECONDS ...]
set -uo pipefail
unit=$1
shift
[ $# -gt 0 ] || set -- 0.5:2.5 2.2:3 3.4:2 4.1:2.5
callers=8
failed=0

play()
{
    local at=$1 for_s=$2 out process address unanswered=0 fds=() fd
    out=$(mktemp)
    "$unit" "[suspended]" >"$out" 2>&1 &
    process=$!
    until address=$(grep -oP '(?<=^stopping )\S+' "$out"); do
        kill -0 "$process" 2>/dev/null || { cat "$out"; return 1; }
        sleep 0.01
    done
    for _ in $(seq "$callers"); do
        exec {fd}<>"/dev/tcp/${address%:*}/${address#*:}" || continue
        fds+=("$fd")
    done
    sleep "$at"
    kill -STOP "$process"
    for fd in "${fds[@]}"; do
        printf 'GET /queue/1 HTTP/1.1\r\nHost: x.example\r\nDeadline-Ms: 9000\r\nContent-Length: 0\r\n\r\n' >&"$fd"
    done
    sleep "$for_s"
    kill -CONT "$process"
    for fd in "${fds[@]}"; do
        IFS= read -r -t 8 -u "$fd" line && [[ $line == HTTP/1.1* ]] || unanswered=$((unanswered + 1))
        exec {fd}>&-
    done
    wait "$process"
    local code=$?
    echo "suspended after $at s for $for_s s: $unanswered of $callers unanswered, exit code $code"
    [ "$code" = 0 ] || grep -vE 'INFO' "$out"
    rm -f "$out"
    [ "$code" = 0 ] && [ "$unanswered" = 0 ]
}

for one in "$@"; do
    play "${one%:*}" "${one#*:}" || failed=1
done
exit "$failed"
