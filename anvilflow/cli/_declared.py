"""Declarations in files, and the changes that applying them makes."""

from pathlib import Path

import json5
from msgspec import Struct

from ..exceptions import DeclarationError
from ..resources import (
    DECLARED_KINDS,
    Catalog,
    Change,
    check_references,
    parse_resource,
    resource_key,
)
from ..utils import to_builtins

#: Order in which kinds are applied: a kind comes after the kinds that it refers to.
_APPLY_ORDER = ["Policy", "Customer", "Workload"]


class Planned(Struct, kw_only=True):
    """Planned change of one declared resource.

    Parameters
    ----------
    key : str
    action : {"create", "replace", "unchanged"}
    changed : dict of str to list
        Old and new value of each field that a replacement changes.
    value : dict
        The declared resource.
    revision : int
        Revision in force; 0 when the resource is not in the cell.
    """

    key: str
    action: str
    changed: dict
    value: dict
    revision: int


def find_declarations(paths):
    """Return the resources declared in files and folders.

    Parameters
    ----------
    paths : iterable of str
        Files of JSON with comments, each with one resource or a list of them; or folders, whose
        ``.json`` files are all read, at any depth.

    Returns
    -------
    resources : dict of str to resource
        By key, in the order in which they are applied.

    Raises
    ------
    DeclarationError
        AF102, with the file, the path of the key and what is allowed.
    """
    found = {}
    for path in paths:
        for file in _list_files(Path(path)):
            for resource in _read_resources(file):
                key = resource_key(resource)
                if key in found:
                    raise DeclarationError(f"{file}: {key} is declared twice")
                found[key] = resource
    ordered = dict(sorted(found.items(), key=lambda item: (_rank(item[1]), item[0])))
    _check_references_within(ordered)
    return ordered


def plan_changes(resources, current):
    """Return a :class:`Planned` change for each declared resource.

    Parameters
    ----------
    resources : dict of str to resource
    current : dict of str to (int, dict)
        Revision and value in force by key.
    """
    planned = []
    for key, resource in resources.items():
        value = to_builtins(resource)
        revision, stored = current.get(key, (0, None))
        if stored is None:
            action, changed = "create", {}
        elif stored == value:
            action, changed = "unchanged", {}
        else:
            action = "replace"
            names = sorted({*stored, *value})
            changed = {
                name: [stored.get(name), value.get(name)]
                for name in names
                if stored.get(name) != value.get(name)
            }
        planned.append(
            Planned(key=key, action=action, changed=changed, value=value, revision=revision)
        )
    return planned


def _rank(resource):
    return _APPLY_ORDER.index(type(resource).__name__)


def _list_files(path):
    if path.is_dir():
        files = sorted(path.rglob("*.json"))
        if not files:
            raise DeclarationError(f"{path}: no .json file in this folder")
        return files
    if not path.is_file():
        raise DeclarationError(f"{path}: no such file or folder")
    return [path]


def _read_resources(file):
    try:
        values = json5.loads(file.read_text(encoding="utf-8"), allow_duplicate_keys=False)
    except (OSError, ValueError, RecursionError) as exc:
        raise DeclarationError(f"{file}: not JSON with comments: {exc}") from exc
    resources = []
    for value in values if isinstance(values, list) else [values]:
        try:
            resource = parse_resource(value)
        except DeclarationError as exc:
            raise DeclarationError(f"{file}: {exc.message}") from exc
        if type(resource).__name__ not in DECLARED_KINDS:
            raise DeclarationError(f"{file}: jobs are submitted, not applied")
        resources.append(resource)
    return resources


def _check_references_within(resources):
    """Check the references between declared resources.

    References to resources that are only in the cell are checked by the cell.
    """
    catalog = Catalog()
    for revision, (key, resource) in enumerate(resources.items(), start=1):
        catalog.apply(Change(revision=revision, key=key, value=to_builtins(resource)))
    for resource in resources.values():
        policy = getattr(resource, "policy", None)
        if policy is None or catalog.get(f"Policy/{policy}") is not None:
            check_references(resource, catalog)
