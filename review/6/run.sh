#!/usr/bin/env bash
# Exits with 1 if the rule broke, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/release/review_2
[ -x "$program" ] && [ -x target/release/egret-platform-control ] || exit 2
# A process group of its own, so that a script that is stopped ends all of it.
set -m
"$program" whole review/6/record.txt &
group=$!
trap 'kill -KILL -- -"$group"; rm -rf "${TMPDIR:-/tmp}/egret-review-2-$group"; exit 2' INT TERM
wait "$group"
