"""Which backend server runs a request, and when."""

from celerywharf.admissions._part import Admissions
from celerywharf.admissions.demands import Demand, Grant, Outcome

__all__ = ('Admissions', 'Demand', 'Grant', 'Outcome')
