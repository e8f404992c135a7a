#!/bin/sh
# Builds the stand-ins: they are Python of the standard library only, so this checks that they load.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import deployment, http_messages, outcome, worker'
