"""Rendezvous hashing: who of many goes first, without agreement.

Each process computes the same order from the same names, and the loss of one name moves
only what that name stood first for. Safety never depends on the order; it only keeps
several processes from doing the same work.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def weight(subject: str, name: str) -> int:
    """The weight of ``name`` for ``subject``; equal in every process and run."""
    return xxhash.xxh3_64_intdigest(f"{subject}\0{name}".encode())


def ranked(subject: str, names: Iterable[str]) -> list[str]:
    """``names`` by falling weight for ``subject``; ties by name."""
    return sorted(names, key=lambda name: (-weight(subject, name), name))


def first(subject: str, names: Iterable[str]) -> str | None:
    """The name with the greatest weight, or None if there are no names."""
    return min(names, key=lambda name: (-weight(subject, name), name), default=None)
