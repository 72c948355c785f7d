"""The resources in force at one revision."""

from msgspec import Struct

from ..exceptions import DeclarationError, NotFoundError
from ._declarations import Customer, Job, Policy, Workload, parse_resource


class Change(Struct, kw_only=True):
    """One change of one resource; `value` is None for a deletion."""

    revision: int
    key: str
    value: dict | None


class Catalog:
    """Resources by key, brought forward one revision at a time.

    A change is applied only when it carries exactly the next revision. An instance that reads
    slowly, restarts or hears an old hint can thereby never go back to an older configuration,
    and can never skip a change in between.
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
        """Apply the next change; return False when it is old or comes too early."""
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
        """Replace everything by a listing read at `revision`; refuse an older one."""
        if revision < self._revision:
            return False
        self._items = {key: parse_resource(value) for key, (_, value) in items.items()}
        self._revisions = {key: at for key, (at, _) in items.items()}
        self._revision = revision
        return True

    def get(self, key):
        """Return the resource at `key` or None."""
        return self._items.get(key)

    def revision_of(self, key):
        """Return the revision at which the resource was last written, 0 when there is none."""
        return self._revisions.get(key, 0)

    def keys(self, prefix=""):
        """Return the sorted keys that start with `prefix`."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def customer(self, name):
        """Return the customer `name`; AF201 when it is not declared."""
        return self._require(f"Customer/{name}", Customer)

    def workload(self, name):
        """Return the workload `name`; AF201 when it is not declared."""
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
    """Raise AF102 when `resource` names another that is missing or of another kind of work."""
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
