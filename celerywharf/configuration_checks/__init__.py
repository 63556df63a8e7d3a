"""Checks of a configuration before it is sent to the hosts."""

from celerywharf.configuration_checks._checks import check_configuration
from celerywharf.configuration_checks._findings import Finding, Kind
from celerywharf.configuration_checks._rollouts import check_rollouts

__all__ = ('Finding', 'Kind', 'check_configuration', 'check_rollouts')
