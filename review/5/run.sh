#!/usr/bin/env bash
# Runs the case on loopback; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -euo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
if [ ! -x target/review/standins ] || [ ! -x target/release/mustardbay-vm ]; then
    echo "build the program of deploy/system.toml first, then review/build.sh" >&2
    exit 2
fi
exec target/review/standins evacuated-backend "$folder/record.txt"
