"""Catalog of the declared resources and jobs at one revision of the configuration."""

from msgspec import Struct

from ..exceptions import DeclarationError, NotFoundError
from ._declarations import Customer, Job, Policy, Workload, parse_resource


class Change(Struct, kw_only=True):
    """A change of one resource; `value` is None for a deletion."""

    revision: int
    key: str
    value: dict | None


class Catalog:
    """Resources by key, updated one revision at a time.

    A change is applied only if its revision is exactly the next one. An instance that reads slowly,
    restarts or receives an old notification can therefore neither return to an older configuration
    nor skip a change.
    """

    __slots__ = ("_items", "_revision", "_revisions")

    def __init__(self):
        self._items = {}
        self._revisions = {}
        self._revision = 0

    @property
    def revision(self):
        """Revision of the newest change applied."""
        return self._revision

    def __len__(self):
        return len(self._items)

    def apply(self, change):
        """Apply the next change; return False if it is old or if changes before it are missing."""
        if change.revision != self._revision + 1:
            return False
        if change.value is None:
            self._items.pop(change.key, None)
            self._revisions.pop(change.key, None)
        else:
            self._items[change.key] = parse_resource(change.value)
            self._revisions[change.key] = change.revision
        self._revision = change.revision
        return True

    def load(self, revision, items):
        """Replace all resources by a listing read at `revision`; return False if it is older."""
        if revision < self._revision:
            return False
        self._items = {key: parse_resource(value) for key, (_, value) in items.items()}
        self._revisions = {key: at for key, (at, _) in items.items()}
        self._revision = revision
        return True

    def get(self, key):
        """Return the resource at `key`, or None if there is none."""
        return self._items.get(key)

    def revision_of(self, key):
        """Return the revision at which the resource was last written, 0 if there is no resource."""
        return self._revisions.get(key, 0)

    def keys(self, prefix=""):
        """Return the sorted keys that start with `prefix`."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def customer(self, name):
        """Return the customer `name`; raise AF201 if it is not declared."""
        return self._require(f"Customer/{name}", Customer)

    def workload(self, name):
        """Return the workload `name`; raise AF201 if it is not declared."""
        return self._require(f"Workload/{name}", Workload)

    def policy_of(self, workload):
        """Return the rules of the workload's policy."""
        return self._require(f"Policy/{workload.policy}", Policy).rules

    def jobs(self):
        """Return the jobs."""
        return [item for item in self._items.values() if isinstance(item, Job)]

    def customers(self):
        """Return the customers."""
        return [item for item in self._items.values() if isinstance(item, Customer)]

    def _require(self, key, kind):
        item = self._items.get(key)
        if not isinstance(item, kind):
            raise NotFoundError(f"{key} is not declared")
        return item


def check_references(resource, catalog):
    """Raise AF102 if `resource` refers to one that is missing or of the wrong kind of work."""
    match resource:
        case Workload():
            _check_policy(resource, catalog)
        case Job():
            _check_job(resource, catalog)


def _check_policy(workload, catalog):
    policy = catalog.get(f"Policy/{workload.policy}")
    if policy is None:
        raise DeclarationError(f"$.policy: Policy/{workload.policy} is not declared")
    kind = policy.rules.__struct_config__.tag
    if kind != workload.work:
        raise DeclarationError(
            f"$.policy: Policy/{workload.policy} is for {kind} work; allowed: one for "
            f"{workload.work.value} work"
        )


def _check_job(job, catalog):
    if catalog.get(f"Customer/{job.customer}") is None:
        raise DeclarationError(f"$.customer: Customer/{job.customer} is not declared")
    workload = catalog.get(f"Workload/{job.workload}")
    if workload is None:
        raise DeclarationError(f"$.workload: Workload/{job.workload} is not declared")
    if workload.work == "service":
        raise DeclarationError(
            f"$.workload: {job.workload} is service work; allowed: batch or gang"
        )
