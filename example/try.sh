#!/bin/sh
# Starts the toy server and a node, submits one job, prints the answer and the counters, and stops both.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --package curlewusher-node --examples --bins
target/release/examples/toy_server &
toy=$!
RELAY_CONFIG=example/config.json target/release/curlewusher &
node=$!
trap 'kill "$node" "$toy"; wait "$node" || true' EXIT
until curl -sf http://127.0.0.1:8000/ready; do sleep 0.1; done
curl -s http://127.0.0.1:8000/api/hole-17 -d 'interval=40-55' -H 'X-Request-Id: try-1' \
    -H 'X-Class: scan-view' -H 'X-Deadline: 5' -H 'X-Cost-Hint: 300000'
curl -s http://127.0.0.1:8000/metrics | grep -E 'answers|attempts_total'
