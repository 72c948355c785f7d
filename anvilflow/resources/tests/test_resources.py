"""Checks of declarations and references, and the order of revisions in the catalog."""

import pytest

from anvilflow.exceptions import DeclarationError
from anvilflow.resources import Catalog, Change, check_references, parse_resource, resource_key
from anvilflow.standins import make_declarations
from anvilflow.utils import to_builtins


def make_catalog():
    """Return a catalog with the sample declarations."""
    catalog = Catalog()
    for revision, resource in enumerate(make_declarations(), start=1):
        key = resource_key(resource)
        assert catalog.apply(Change(revision=revision, key=key, value=to_builtins(resource)))
    return catalog


@pytest.mark.parametrize(
    "value, part",
    [
        ({"kind": "Customer", "name": "Bad Name"}, "$.name"),
        ({"kind": "Customer", "name": "c", "priority": 0}, "`$.priority`"),
        ({"kind": "Customer", "name": "c", "weight": 3}, "weight"),
        ({"kind": "Cluster", "name": "c"}, "Cluster"),
        ({"kind": "Policy", "name": "p", "rules": {"type": "service", "reserve": 1}}, "reserve"),
        ({"name": "c"}, "kind"),
    ],
)
def test_malformed_declaration_is_refused_with_its_path(value, part):
    with pytest.raises(DeclarationError) as caught:
        parse_resource(value)
    assert part in caught.value.message


def test_reference_to_a_policy_of_another_kind_is_refused():
    catalog = make_catalog()
    workload = catalog.workload("lookup")
    workload.policy = "background"
    with pytest.raises(DeclarationError, match="for batch work"):
        check_references(workload, catalog)


def test_catalog_never_goes_back_and_skips_nothing():
    """Old, repeated and early changes arrive from a slow reader or an old notification."""
    catalog = make_catalog()
    at = catalog.revision
    value = {"kind": "Customer", "name": "small", "priority": 7}
    for revision in (at, at - 1, at + 2):
        assert not catalog.apply(Change(revision=revision, key="Customer/small", value=value))
    assert not catalog.load(at - 1, {})
    assert catalog.customer("small").priority == 100
    assert catalog.apply(Change(revision=at + 1, key="Customer/small", value=value))
    assert catalog.customer("small").priority == 7
