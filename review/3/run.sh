#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case" "$(dirname "$0")"
