#!/bin/sh
# Builds the stand-ins and tests of all cases. They have no dependencies, so no network is needed.
cd "$(dirname "$0")/standins" && exec cargo build --release --offline --locked
