"""Logs and metrics of what the leader's scheduler has learnt and decides by."""

from ..utils import to_builtins
from ._place_report import PlaceReport
from ._speed_report import SpeedReport


class SchedulerReport:
    """Reports what one leader's scheduler has decided, and its state after each plan.

    Parameters
    ----------
    log : Logger
    meters : Meters
    """

    __slots__ = ("_log", "_meters", "_places", "_speeds")

    def __init__(self, *, log, meters):
        self._log = log
        self._meters = meters
        self._speeds = SpeedReport(log=log, meters=meters)
        self._places = PlaceReport(log=log, meters=meters)

    def report_dropped_runs(self, scheduler):
        """Log the runs taken for over without their end, and those whose end is listed later."""
        for note in scheduler.dropped_runs.take_notes():
            values = to_builtins(note)
            values["run"] = values.pop("run_id")
            values["worker"] = values.pop("worker_id")
            if note.late_end:
                self._meters.count("late_ends", str(note.proof))
                self._log.warning("run was not over", **values)
            else:
                self._meters.count("dropped_runs", str(note.proof))
                self._log.info("run over without its end", **values)

    def update(self, scheduler, now):
        """Report the state after a plan. Unit: seconds."""
        self._speeds.update(scheduler, now)
        self._places.update(scheduler, now)
        counts = scheduler.shares.counts
        gauges = {
            "deferred_advice_steps": len(scheduler.deferred_advice_steps),
            "advice_callers": scheduler.n_advice_callers,
            "long_advice_callers": scheduler.ticket_planner.n_long_allowed,
            "guaranteed_jobs_waiting": counts.n_guaranteed,
            "excess_jobs_waiting": counts.n_excess,
            "late_jobs_waiting": counts.n_late,
        }
        for name, value in gauges.items():
            self._meters.set_gauge(name, value)
