#!/bin/sh
# Builds what the scripts of the third review start beside the project's own program. Run it in the repository
# root, after the build of deploy/system.toml. It needs no network.
set -eu
cd "$(dirname "$0")/.."
go build -o target/rig3 ./review/third/platform
