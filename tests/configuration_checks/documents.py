"""Configurations in the platform's form."""

import json

LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 4194304,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15000,
}


def route(name='r', **changes):
    return {
        'name': name,
        'host': 'orders.example',
        'prefix': f'/{name}/',
        'kind': 'idempotent',
        'timeoutMs': 4000,
        'latencyTargetMs': 300,
        'service': 'desk',
        'maxAttempts': 3,
        **changes,
    }


def document(*routes, **changes):
    content = {
        'version': 7,
        'routes': list(routes) or [route()],
        'services': [{'name': 'desk'}],
        'limits': LIMITS,
        'tenants': [{'name': 'shop', 'apiKeys': ['secret-1']}],
        **changes,
    }
    return json.dumps(content).encode()
