#!/bin/sh
NUMBER=7
CASE=late-watch
. "$(dirname "$0")/../stand-ins-2/case.sh"
