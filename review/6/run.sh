#!/usr/bin/env bash
# Exits with 1 if the rule broke, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/release/review_2
[ -x "$program" ] && [ -x target/release/egret-platform-control ] || exit 2
exec "$program" whole review/6/record.txt
