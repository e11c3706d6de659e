#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
case_folder=$(cd "$(dirname "$0")" && pwd) || exit 2
number=$(basename "$case_folder")
cd "$case_folder/../.." || exit 2
play=target/review-3/play-$number
[ -x "$play" ] && [ -x target/release/mustardbay-vm ] || exit 2
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout -k 5 110 "$play" "$case_folder" "$temporary"
status=$?
case $status in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
