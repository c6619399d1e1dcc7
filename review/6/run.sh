#!/usr/bin/env bash
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/release/review_2 whole review/6/record.txt
