#!/bin/sh
# Builds the stand-ins of the second review's cases (review/6 and review/7). No package is needed but std.
set -e
cd "$(dirname "$0")/standin-2"
exec cargo build --release --offline --locked
