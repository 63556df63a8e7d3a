"""CPU time and memory of a process, as the kernel reports them."""

from dataclasses import dataclass
from pathlib import Path

NS_PER_S = 1_000_000_000
BYTES_PER_KIB = 1024


@dataclass(frozen=True, slots=True)
class ResourceUsage:
    """CPU seconds since the process started, and resident bytes now."""

    cpu_s: float
    resident_bytes: int


def read_usage(pid: int) -> ResourceUsage:
    """Return a process's CPU time and memory."""
    return ResourceUsage(cpu_seconds(pid), resident_bytes(pid))


def cpu_seconds(pid: int) -> float:
    """Return the CPU seconds of a process's main thread.

    They are read from schedstat, which counts nanoseconds and covers only the
    main thread; entry hosts have no other.
    """
    text = Path(f'/proc/{pid}/schedstat').read_text()
    return int(text.split()[0]) / NS_PER_S


def resident_bytes(pid: int) -> int:
    """Return a process's resident memory.

    Raises:
        ProcessLookupError: the kernel reports no resident memory for it.
    """
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * BYTES_PER_KIB
    raise ProcessLookupError(pid)
