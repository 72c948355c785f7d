"""Which incarnation of each worker is the present one."""

from msgspec import structs

from ..exceptions import StartTimeError


class Incarnations:
    """Tracks the present incarnation of each worker, by its id in the registry.

    Notes
    -----
    The start time comes from two sources that may differ for a while, or for good if one of them is
    wrong. An answer counts over the registry: its connection leads to the process that is at the
    address now, while an entry may be written late or by another program. Of two entries, the later
    start counts. An entry with a start time that the worker's answers have contradicted is taken as
    one without.
    """

    def __init__(self):
        self._present = {}
        self._entries = {}
        self._contradicted = {}

    def present(self, registry_id):
        """Return the :class:`WorkerInfo` of the present incarnation, or None."""
        return self._present.get(registry_id)

    def note_present(self, info):
        """Note the incarnation that a worker has now."""
        self._present[info.registry_id] = info

    def resolve_entry(self, info):
        """Return the :class:`WorkerInfo` of the present incarnation, as a registry entry states it.

        Raises
        ------
        StartTimeError
            AF406, the entry is that of an earlier incarnation.
        """
        present = self._present.get(info.registry_id)
        if present is not None:
            if self._states_no_start_time(info):
                info = structs.replace(info, born_ms=present.born_ms)
            elif present.born_ms is not None and info.born_ms < present.born_ms:
                raise StartTimeError(
                    f"start time {info.born_ms} is before {present.born_ms}, that of the present "
                    "incarnation"
                )
        self._entries[info.registry_id] = self._present[info.registry_id] = info
        return info

    def _states_no_start_time(self, info):
        contradicted = self._contradicted.get(info.registry_id)
        return info.born_ms is None or info.born_ms == contradicted

    def restarted(self, registry_id, born_ms):
        """Note the start time in a worker's answer, which is not that of the present incarnation.

        Returns
        -------
        info : WorkerInfo
            The new incarnation.
        is_listed : bool
            Whether the registry entry describes it: the entry does not if it has an earlier start
            time, as the new incarnation may be of another kind.
        """
        present = self._present[registry_id]
        entry = self._entries.get(registry_id)
        is_later = born_ms is not None and (present.born_ms or 0) < born_ms
        if not is_later:
            self._contradicted[registry_id] = present.born_ms
        is_listed = entry is not None and (not is_later or self._states_no_start_time(entry))
        info = structs.replace(entry or present, born_ms=born_ms)
        self._present[registry_id] = info
        return info, is_listed

    def entry_removed(self, registry_id):
        """Note that a worker's registry entry has been removed."""
        self._entries.pop(registry_id, None)

    def remove(self, worker_id, registry_id):
        """Forget an incarnation that has ended without a successor."""
        present = self._present.get(registry_id)
        if present is not None and present.worker_id == worker_id:
            del self._present[registry_id]
            self._entries.pop(registry_id, None)
            self._contradicted.pop(registry_id, None)
