#!/usr/bin/env bash
# Regenerates the peer link's code from its schema. Building needs neither tool.
#
# Needs the schema compiler (Debian package capnproto) and its Rust plugin:
#   cargo install capnpc --version 0.27.0 --locked --root "$TOOLS"
# with $TOOLS/bin on the PATH, or given as the first argument.
set -euo pipefail
cd "$(dirname "$0")/../crates/anvilhook-peer"

if [[ $# -gt 0 ]]; then
  PATH="$1/bin:$PATH"
fi

capnp compile --src-prefix=schema -orust:src/generated schema/peer.capnp
