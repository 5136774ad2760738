#!/usr/bin/env bash
# The configuration changes while daemons read the list again; some never get the change.
exec "$(dirname "$0")/../run_case.sh" change_during_read review/2
