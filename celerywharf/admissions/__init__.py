"""Admission control: grants requests access to backend servers."""

from celerywharf.admissions._part import Admissions
from celerywharf.admissions.demands import Demand, Grant, Outcome

__all__ = ('Admissions', 'Demand', 'Grant', 'Outcome')
