#!/usr/bin/env bash
# A machine is frozen for two seconds; flows are broken by it after it is in touch again.
exec "$(dirname "$0")/../run_case.sh" flow_after_freeze review/1
