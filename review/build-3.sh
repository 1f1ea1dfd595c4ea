#!/bin/sh
# Builds the stand-ins of the third review. They use the standard library only.
set -e
cd "$(dirname "$0")/standins-3"
exec cargo build --release --offline --locked --target-dir ../../target/review-3
