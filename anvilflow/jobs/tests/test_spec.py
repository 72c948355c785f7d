"""Which queue a call belongs to, and what the row of a job holds."""

from random import Random
from time import process_time

from anvilflow.jobs import CellConfig, JobSpec, Queue, StepSpec
from anvilflow.utils import decode, encode

N_QUEUES = 4200


def _queue(number, *, host="desk.example", prefix=None, service="desk", priority=0):
    prefix = f"/queue{number:04d}/" if prefix is None else prefix
    return Queue(name=f"q{number}", host=host, prefix=prefix, service=service, priority=priority)


def test_longest_prefix_of_the_host_wins():
    """Prefixes lie within each other, and other hosts have the same ones."""
    prefixes = ("/", "/a/", "/a/b/", "/ab/")
    queues = [_queue(number, prefix=prefix) for number, prefix in enumerate(prefixes)]
    queues.append(_queue(9, host="other.example", prefix="/a/b/c/"))
    config = CellConfig(version=1, queues=tuple(queues))
    paths = {"/a/b/1": "q2", "/a/bb/1": "q1", "/abc": "q0", "/ab/1": "q3", "/a/": "q1"}
    assert {path: config.queue_for("desk.example", path).name for path in paths} == paths
    assert config.queue_for("other.example", "/a/b/1") is None
    assert config.queue_for("nobody.example", "/a/") is None


def test_index_finds_what_a_search_finds():
    """Random prefixes and paths of few letters, so that many match; ties go to the first."""
    random_state = Random(3)
    texts = ["".join(random_state.choices("ab/", k=random_state.randint(0, 6))) for _ in range(400)]
    queues = tuple(_queue(number, prefix=text) for number, text in enumerate(texts[:200]))
    config = CellConfig(version=1, queues=queues)
    for path in texts:
        matches = [queue for queue in queues if path.startswith(queue.prefix)]
        expected = max(matches, key=lambda queue: len(queue.prefix), default=None)
        assert config.queue_for("desk.example", path) is expected


def test_more_urgent_is_asked_within_a_service():
    """A queue of another service does not count."""
    queues = (_queue(1, priority=2), _queue(2, service="other", priority=0), _queue(3, priority=1))
    config = CellConfig(version=1, queues=queues)
    assert config.has_more_urgent(queues[0])
    assert not config.has_more_urgent(queues[2])
    assert not config.has_more_urgent(queues[1])


def test_thousands_of_queues_cost_a_call_nothing():
    """Before the index a call took 0.97 ms with 4,200 queues, now 0.001 ms."""
    config = CellConfig(version=1, queues=tuple(_queue(number) for number in range(N_QUEUES)))
    config.queue_for("desk.example", "/")
    began = process_time()
    for number in range(1000):
        assert config.queue_for("desk.example", f"/queue{number:04d}/1").name == f"q{number}"
    assert (process_time() - began) / 1000 < 1e-4


def test_row_of_a_job_leaves_out_what_is_as_usual():
    """A new leader reads the rows of all jobs: over a narrow link the names alone took seconds."""
    spec = JobSpec(job_id="0" * 16, queue="q", payload="p", steps=(StepSpec(n_tasks=2),))
    row = encode(spec)
    assert decode(row, JobSpec) == spec
    assert b"rack_sensitive" not in row
    assert len(row) < 100


def test_row_that_an_earlier_release_wrote_in_full_is_read():
    """Instances of two releases share the table while the cell is upgraded."""
    in_full = {"n_tasks": 2, "gang": False, "after": [], "label": "", "target_s": 0.0}
    row = {"job_id": "0" * 16, "queue": "q", "payload": "p", "steps": [in_full], "first_at": 0.0}
    assert decode(encode(row), JobSpec).steps == (StepSpec(n_tasks=2),)
