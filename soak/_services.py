"""Long-running jobs that fail often until their cause is removed, and then have to run again."""

import signal

from twisted.internet.defer import gatherResults, inlineCallbacks
from twisted.internet.task import deferLater

from anvilflow.standins import make_job_body

from ._callers import END_STATES, POLL_INTERVAL_S, Call

#: Run numbers of a term in the processes of such a soak, so that a seed passes them.
RUNS_PER_TERM = 5

#: Steps of the jobs, and durations of the runs that fail. Unit of `FAILS_AFTER_S`: seconds.
STEPS = (
    {"count": 1, "cpu": 500, "long-running": True},
    {"count": 2, "cpu": 500, "long-running": True},
    {"count": 2, "cpu": 500, "long-running": True, "gang": True},
)
FAILS_AFTER_S = (0.005, 0.05, 0.2)

#: Time for which the tasks go on to fail once the instances are ready after the last fault, and
#: time from the end of the cause, when the leader is killed, within which each has to run: 6 s
#: since its last run, and 3 s more. Unit: seconds.
FAILS_ON_S = 15.0
RUNS_AGAIN_S = 9.0

#: Time after which the leader is started again if there is no other instance. Unit: seconds.
RESTART_S = 0.5


class Services:
    """Submits the jobs and checks that they run once their cause to fail is removed.

    Parameters
    ----------
    reactor : IReactorTime
    environment : Environment
    callers : Callers
    random_state : random.Random
    n_services : int
    instances : Instances
    """

    def __init__(self, *, reactor, environment, callers, random_state, n_services, instances):
        self.reactor = reactor
        self.environment = environment
        self.instances = instances
        self.callers = callers
        self.calls = [self._make_call(random_state) for _ in range(n_services)]
        self._specs = [f"{random_state.choice(FAILS_AFTER_S)} lasts 500" for _ in self.calls]
        self._done = None

    def _make_call(self, random_state):
        job_id = f"{random_state.getrandbits(64):016x}"
        step = random_state.choice(STEPS)
        return Call(
            job_id=job_id,
            path=f"/bulk/{job_id}",
            steps=[step],
            how="lasts",
            n_tasks=step["count"],
        )

    def start(self):
        """Submit the jobs."""
        self.environment.services_fail = True
        self.callers.calls += self.calls
        self._done = gatherResults(
            [
                self.callers.submit(call, make_job_body(*call.steps, spec=spec))
                for call, spec in zip(self.calls, self._specs, strict=True)
            ]
        )

    @inlineCallbacks
    def finish(self, *, ready_s):
        """End the cause and kill the leader; return the tasks that do not run, cancel the jobs.

        `ready_s` is the longest time until the instances are ready. Unit: seconds.
        """
        yield self._done
        if not self.calls:
            return []
        yield self._sleep(ready_s + FAILS_ON_S)
        self.environment.services_fail = False
        leader = self.environment.store.value("home", "home", part="cell")["holder"]
        self.instances.send(leader, signal.SIGKILL)
        until = self.reactor.seconds() + RUNS_AGAIN_S
        if self.instances.running == [leader]:
            # All other instances are without power: this one has to start again first.
            self.reactor.callLater(RESTART_S, self.instances.start, leader)
            until += RESTART_S + ready_s
        while self._waiting_tasks() and self.reactor.seconds() < until:
            yield self._sleep(0.2)
        self.instances.start(leader)
        violations = [f"{task} does not run again" for task in self._waiting_tasks()]
        yield gatherResults([self._cancel(call) for call in self._accepted_calls()])
        return violations

    def _sleep(self, delay):
        return deferLater(self.reactor, delay, lambda: None)

    def _accepted_calls(self):
        return [call for call in self.calls if call.accepted_at is not None]

    def _waiting_tasks(self):
        active = {task for worker in self.environment.workers.values() for task in worker.active}
        tasks = [
            f"{call.job_id}.0.0.{index}"
            for call in self._accepted_calls()
            for index in range(call.n_tasks)
        ]
        return [task for task in tasks if task not in active]

    @inlineCallbacks
    def _cancel(self, call):
        yield self.callers.cancel(call)
        while call.shown not in END_STATES and not self.callers.checker.is_over:
            yield self.callers.poll(call)
            yield self._sleep(POLL_INTERVAL_S)
