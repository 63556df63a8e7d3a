"""Roll-outs of a service that has had many software versions before."""

from dataclasses import replace

import pytest

from celerywharf.rollouts import RolloutStep, Stage
from celerywharf.sharing._rollout_rows import encode_step
from tests.rollouts.fleets import ORDERED_S, SERVICE, Version
from tests.rollouts.zoned_fleets import ZonedFleet

PERIOD_S = 12
MAX_ROW_BYTES = 65_536
LINE_ENDS = f'{chr(0x2028) * 40}{{}}'  # six bytes each in JSON


def step_after(releases, name_format):
    """Return the last step of an earlier order, after some releases."""
    former = tuple(name_format.format(number) for number in range(releases))
    return RolloutStep(
        SERVICE,
        'v1',
        3,
        PERIOD_S,
        ORDERED_S - 100,
        stage=Stage.done,
        replaced=former[-1:],
        barred=former[:-1],
        era=1,
    )


@pytest.mark.parametrize(
    ('releases', 'name_format'),
    [(101, 'r{}'), (1000, 'r{}'), (600, '{:0100}'), (200, LINE_ENDS)],
    ids=['short', 'many', 'long', 'escaped'],
)
def test_the_hundredth_release_does_not_block_the_next_ones(
    releases, name_format
):
    fleet = ZonedFleet(1, 6, Version(), rate=40)
    fleet.add_servers('v9')
    earlier = step_after(releases, name_format)
    earlier = replace(earlier, barred=(*earlier.barred, 'v9'))
    fleet.overwrite_step(encode_step(earlier))
    fleet.run(PERIOD_S + 3)
    assert fleet.stage == 'done'
    assert fleet.is_within_bounds
    assert 'v9' in fleet.step.barred
    sizes = [len(row.content) for row in fleet.store.rows.values()]
    assert max(sizes) <= MAX_ROW_BYTES
    for host in fleet.readers.values():
        counters = host.control.steps.metrics.counters
        assert 'unreadable_rollout_steps' not in counters
