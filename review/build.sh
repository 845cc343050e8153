#!/bin/sh
# Builds the stand-ins that the cases start. They use the standard library only.
set -e
cd "$(dirname "$0")/standin"
exec cargo build --release --offline
