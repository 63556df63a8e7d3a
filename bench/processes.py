"""What the kernel says of a process."""

from dataclasses import dataclass
from pathlib import Path

NANOSECONDS = 1_000_000_000
KIBIBYTE = 1024


@dataclass(frozen=True, slots=True)
class Cost:
    """CPU seconds since the start, and resident bytes now."""

    cpu_s: float
    resident_bytes: int


def read_cost(pid: int) -> Cost:
    """Read a process's CPU time and memory."""
    return Cost(cpu_seconds(pid), resident_bytes(pid))


def cpu_seconds(pid: int) -> float:
    """Read a process's CPU time; its one thread's, to the nanosecond."""
    text = Path(f'/proc/{pid}/schedstat').read_text()
    return int(text.split()[0]) / NANOSECONDS


def resident_bytes(pid: int) -> int:
    """Read a process's resident memory."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * KIBIBYTE
    raise ProcessLookupError(pid)
