#!/usr/bin/env bash
# Lays the kit's files that lbreal wants beside a site next to the sites of this folder; git ignores them.
# Usage: deploy/sites/kit.sh KIT/more/node/sites
set -euo pipefail
from=${1:?"name the kit's folder of sites, as in ../given/kit/more/node/sites"}
here=$(dirname "$0")
for file in real.json wire.json unlock.txt; do
    [ -f "$from/$file" ] || { echo "$from/$file is not there: name the folder that holds it" >&2; exit 2; }
    cp -f "$from/$file" "$here/$file"
    chmod u+w "$here/$file"
done
