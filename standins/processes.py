"""Groups of processes that end together."""

import atexit
import ctypes
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import weakref
from dataclasses import dataclass
from pathlib import Path
from typing import ClassVar, Self, TextIO

STOP_TIMEOUT_S = 3
PR_SET_PDEATHSIG = 1
ROOT = Path(__file__).resolve().parent.parent
KEPT_LOGS = ROOT / 'run' / 'failed'


@dataclass(slots=True)
class ManagedProcess:
    """A process of a group.

    Attributes:
        name: name in the group.
        process: the child process.
        address: ``ip:port`` on which it serves.
        control: ``ip:port`` of `/control` and `/record`; empty for a host.
        record_path: file with the runs of an engine, None for others.
        is_paused: whether it was paused and not resumed.
        killed_at_close: kill it on close, because its graceful stop would
            wait for a load balancer.
    """

    name: str
    process: subprocess.Popen[str]
    address: str
    control: str
    record_path: Path | None = None
    is_paused: bool = False
    killed_at_close: bool = False

    @property
    def pid(self) -> int:
        """Process id."""
        return self.process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process.poll() is None


class ProcessGroup:
    """Starts, pauses and ends processes; stops them all on exit.

    Attributes:
        folder: temporary files of the processes, removed on close.
        members: the latest process of each name.
        open_groups: all groups that have not been closed.
    """

    open_groups: ClassVar[weakref.WeakSet['ProcessGroup']] = weakref.WeakSet()

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix='fleet-'))
        self.members: dict[str, ManagedProcess] = {}
        atexit.register(self.close)
        self.open_groups.add(self)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exception: object) -> None:
        if any(exception):
            self.keep_logs(KEPT_LOGS / self.folder.name)
        self.close()

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        member = self.members[name]
        member.process.kill()
        member.process.wait()

    def stop(self, name: str) -> int:
        """Send SIGTERM to a process and return its exit code.

        Raises:
            subprocess.TimeoutExpired: it did not end in `STOP_TIMEOUT_S`.
        """
        member = self.members[name]
        member.process.terminate()
        return member.process.wait(STOP_TIMEOUT_S)

    def pause(self, name: str) -> None:
        """Suspend a process."""
        self.members[name].process.send_signal(signal.SIGSTOP)
        self.members[name].is_paused = True

    def resume(self, name: str) -> None:
        """Continue a paused process."""
        self.members[name].process.send_signal(signal.SIGCONT)
        self.members[name].is_paused = False

    def log(self, name: str) -> str:
        """Return the stderr of a process, and stdout if it is a host's."""
        paths = sorted(self.folder.glob(f'{name}.[eo]*'))
        return ''.join(path.read_text() for path in paths)

    def keep_logs(self, target: Path) -> None:
        """Copy the output of all processes and their settings to a folder."""
        shutil.copytree(self.folder, target, dirs_exist_ok=True)

    def close(self) -> None:
        """Stop all processes and remove their files."""
        atexit.unregister(self.close)
        self.open_groups.discard(self)
        running = [
            member for member in self.members.values() if member.is_running
        ]
        for member in running:
            member.process.send_signal(signal.SIGCONT)
            if member.killed_at_close:
                member.process.kill()
            else:
                member.process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for member in running:
            _wait_or_kill(member.process, deadline)
        self.members.clear()
        shutil.rmtree(self.folder, ignore_errors=True)

    def spawn(
        self,
        name: str,
        arguments: list[str],
        output: TextIO | int,
    ) -> subprocess.Popen[str]:
        """Start a Python module with arguments; stderr goes to a file.

        The process is killed when the thread that started it ends.

        Raises:
            FileExistsError: a process of this name is running.
        """
        if name in self.members and self.members[name].is_running:
            raise FileExistsError(name)
        with (self.folder / f'{name}.err').open('a') as errors:
            return subprocess.Popen(
                [sys.executable, '-m', *arguments],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=errors,
                text=True,
                preexec_fn=_kill_with_parent,
            )


def _wait_or_kill(process: subprocess.Popen[str], deadline: float) -> None:
    try:
        process.wait(max(0, deadline - time.monotonic()))
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def _kill_with_parent() -> None:
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
