#!/bin/sh
# Lays the files that the bench wants beside a site (real.json, wire.json, unlock.txt) next to the sites of this folder,
# from where the kit is. They are the kit's and do not go into the repository.
set -eu
cd "$(dirname "$0")"
kit=${KIT:-../../../given/kit}
for file in real.json wire.json unlock.txt; do
    if [ ! -f "$kit/sites/$file" ]; then
        echo "lay.sh: $kit/sites/$file is missing: name the kit's folder by KIT=FOLDER; without the kit these sites cannot be played" >&2
        exit 2
    fi
    cp -f "$kit/sites/$file" "$file"
    chmod u+w "$file"
done
