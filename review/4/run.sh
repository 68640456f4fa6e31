#!/usr/bin/env bash
# Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run. See claim.txt.
here=$(cd "$(dirname "$0")" && pwd)
exec bash "$here/../standins-2/run-case.sh" readback "$here"
