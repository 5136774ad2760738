#!/usr/bin/env bash
# Daemons are restarted as planned work, seconds after one of them was frozen.
exec "$(dirname "$0")/../run_case.sh" restart_after_freeze review/4
