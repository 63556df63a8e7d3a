"""HTTP routes of all parts."""

from celerywharf.applications import APPLICATION_ROUTES
from celerywharf.generations import GENERATION_ROUTES
from celerywharf.hosts._health import HEALTH_ROUTES
from celerywharf.hosts._metrics import METRIC_ROUTES
from celerywharf.operators import OPERATOR_ROUTES
from celerywharf.timeline.queries import TIMELINE_ROUTES
from celerywharf.usage.reports import USAGE_ROUTES

ROUTES = (
    *APPLICATION_ROUTES,
    *HEALTH_ROUTES,
    *METRIC_ROUTES,
    *TIMELINE_ROUTES,
    *OPERATOR_ROUTES,
    *USAGE_ROUTES,
    *GENERATION_ROUTES,
)
