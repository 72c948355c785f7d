"""Packing by the growth of fragments: free capacity that usual tasks cannot use.

Weng et al., "Beware of Fragmentation: Scheduling GPU-Sharing Workloads with Fragmentation Gradient
Descent", USENIX ATC 2023.
"""

#: Number of steps whose demands stand for those of the service. A cost is computed for each worker
#: and task, so that a larger sample costs the leader processor time.
SAMPLE_SIZE = 8

#: Interval of the sampling, in steps of mean work: with a shorter one, a single large step would
#: make up most of the sample.
INTERVAL_STEPS = 4

#: Weight of a new step in the mean work of a step.
MEAN_WEIGHT = 1 / 64

#: Lower bound of a step's estimate in its work, as estimates may be missing. Unit: seconds.
MIN_ESTIMATE_S = 0.05


class DemandSample:
    """Demands of recent steps, drawn with a probability in proportion to their work.

    The sampling is systematic: a step is drawn for each interval of work, without random numbers,
    so that equal loads lead to equal decisions.
    """

    __slots__ = ("_mean_work", "_next", "_work", "shapes")

    def __init__(self):
        self.shapes = []
        self._mean_work = 0.0
        self._work = 0.0
        self._next = 0

    def note_step(self, n_tasks, shape, estimate_s):
        """Count a step that became ready.

        Parameters
        ----------
        n_tasks : int
        shape : Shape
            Demand of one task.
        estimate_s : float
            Estimated duration of one task. Unit: seconds.
        """
        if n_tasks <= 0 or shape.is_empty:
            return
        work = n_tasks * max(MIN_ESTIMATE_S, estimate_s) * max(1, shape.cpu_milli)
        self._mean_work += (work - self._mean_work) * (MEAN_WEIGHT if self._mean_work else 1.0)
        interval = INTERVAL_STEPS * self._mean_work
        n_drawn = int((self._work + work) // interval)
        self._work += work - n_drawn * interval
        for _ in range(min(SAMPLE_SIZE, n_drawn)):
            if len(self.shapes) < SAMPLE_SIZE:
                self.shapes.append(shape)
            else:
                self.shapes[self._next] = shape
                self._next = (self._next + 1) % SAMPLE_SIZE


def fragment_growth(worker, task, shapes):
    """Return by how much a task lets the fragment on a worker grow. Unit: thousandths of a core.

    The fragment is the worker's free processor where a usual task does not fit, averaged over the
    usual tasks. The growth is negative where the task uses up a fragment.

    Parameters
    ----------
    worker : Worker
        A worker on which the task fits.
    task : Shape
        Demand of the task.
    shapes : sequence of Shape
        Demands of usual tasks.
    """
    cpu, memory, accelerators = worker.cpu_free, worker.memory_free, worker.gpu_free
    cpu_left = cpu - task.cpu_milli
    memory_left = memory - task.memory_mb
    accelerators_left = accelerators - task.accelerators
    growth = 0
    for shape in shapes:
        if (
            cpu_left >= shape.cpu_milli
            and memory_left >= shape.memory_mb
            and accelerators_left >= shape.accelerators
        ):
            continue
        growth += cpu_left
        if cpu < shape.cpu_milli or memory < shape.memory_mb or accelerators < shape.accelerators:
            growth -= cpu
    return growth / len(shapes) if shapes else 0.0
