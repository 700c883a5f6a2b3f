#!/usr/bin/env bash
# TROUBLE=0: without the disruption.
exec "$(dirname "$0")/../standins-2/run-case" "$(dirname "$0")"
