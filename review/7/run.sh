#!/bin/sh
NUMBER=7
CASE=maintenance
. "$(dirname "$0")/../stand-ins-2/case.sh"
