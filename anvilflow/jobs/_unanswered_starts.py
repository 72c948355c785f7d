"""Starts without an answer, which the next incarnation of their worker may still execute."""

from ._worker_id import make_worker_id

#: Maximum number of starts in the leader's row, some 12 KB of the 64 KB that a row may hold.
MAX_HANDOVER_STARTS = 150


class UnansweredStarts:
    """Tracks the starts that may still be executed although the worker has not answered them.

    Notes
    -----
    An incarnation of a worker refuses a late start if it has had a run of the task with the same
    number or a higher one, or has seen a higher token. The next incarnation under the same id knows
    neither until it has received a command. A late start that reaches it before that begins a run.
    """

    def __init__(self):
        self._starts = {}

    def __len__(self):
        return len(self._starts)

    def add(self, task, info, expires_at):
        """Note a start to the incarnation `info`, which may be executed until `expires_at`.

        Unit: seconds.
        """
        self._add((task, info.registry_id, info.born_ms), expires_at)

    def _add(self, key, expires_at):
        self._starts[key] = max(expires_at, self._starts.get(key, expires_at))

    def worker_ids(self, task):
        """Return the identities of the incarnations that starts of a task were sent to."""
        return [
            make_worker_id(registry_id, born_ms)
            for name, registry_id, born_ms in self._starts
            if name == task
        ]

    def includes_any(self, prefix):
        """Whether a start of any task of a job or step may still be executed.

        `prefix` is the name of the job or step.
        """
        prefix = f"{prefix}."
        return any(name.startswith(prefix) for name, _, _ in self._starts)

    def remove(self, task, info):
        """Remove the starts of a task to the incarnation `info`, which refuses them."""
        self._starts.pop((task, info.registry_id, info.born_ms), None)

    def remove_expired(self, now):
        """Remove the starts that are not executed any more. Unit: seconds."""
        for key in [key for key, expires_at in self._starts.items() if now >= expires_at]:
            del self._starts[key]

    def remove_fenced(self, info):
        """Remove the starts to earlier incarnations of a worker that has seen a higher token."""
        for key in list(self._starts):
            _, registry_id, born_ms = key
            if registry_id == info.registry_id and born_ms != info.born_ms:
                del self._starts[key]

    def handover(self, now):
        """Return the starts for other instances, with the time for which each may be executed.

        The keys are ``TASK@WORKER@BORN_MS``. Unit: milliseconds.
        """
        latest = sorted(self._starts.items(), key=lambda item: -item[1])[:MAX_HANDOVER_STARTS]
        return {
            f"{task}@{registry_id}@{born_ms}": max(0, round(1000 * (expires_at - now)))
            for (task, registry_id, born_ms), expires_at in latest
        }

    def adopt(self, handover, now):
        """Add the starts that a leader has reported, in the form of :meth:`handover`."""
        self.remove_expired(now)
        for name, remaining_ms in handover.items():
            task, _, incarnation = name.partition("@")
            registry_id, _, born_ms = incarnation.rpartition("@")
            if born_ms.isdecimal():
                self._add((task, registry_id, int(born_ms)), now + remaining_ms / 1000)
