#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
work=$(mktemp -d) || exit 2
export KIT_PIDS="$work/pids"
finish() {
    # Ends the instances that the kit started and that still run, by their ids.
    [ -s "$KIT_PIDS" ] && while read -r pid; do
        [ -r "/proc/$pid/cmdline" ] || continue
        case "$(tr "\0" " " <"/proc/$pid/cmdline")" in
            target/release/coltsfootgate-platform*) kill -KILL "$pid" 2>/dev/null ;;
        esac
    done <"$KIT_PIDS"
    rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM
for program in target/review-3/kit target/release/coltsfootgate-platform; do
    [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
target/review-3/kit lines review/12 &
wait $!
