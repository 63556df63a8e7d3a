"""Limits of as many servers as a system of the planned size has."""

from celerywharf.limits import LimitPool, LimitStatement

SERVERS = 12_000


def test_a_server_is_granted_its_limit_beside_thousands_of_others():
    pool = LimitPool()
    statements = [
        LimitStatement(f'i{number}/1', 'north-1', 2, 0)
        for number in range(SERVERS)
    ]
    granted = sum(
        pool.take(statement, second).granted
        for second in range(3)
        for statement in statements
    )
    assert granted == 2 * SERVERS
