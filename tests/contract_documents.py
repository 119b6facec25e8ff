"""Contracts files, as parsed TOML documents."""

import copy

WINDOW = {"from": "2027-01-01T00:00:00Z", "until": "2027-03-01T00:00:00Z"}
DOCUMENT = {
    "site": [{"name": name, "legs_per_s": 100.0} for name in ("hai-phong", "cai-mep", "can-tho")],
    "contract": [
        {
            "tenant": "gemadept",
            "customers": ["00000000000000a1"],
            "legs_per_s": 80.0,
            "burst": 20,
            "open": 40,
            "window": [WINDOW | {"daily_from": "22:00", "daily_until": "04:00"}],
            "goes": 1,
        },
        {
            "tenant": "viconship",
            "customers": ["00000000000000b1"],
            "legs_per_s": 120.0,
            "burst": 20,
            "open": 40,
            "window": [WINDOW],
            "goes": 2,
        },
    ],
}


def changed(**values):
    """The document with some values changed, each named by its path with `__` between the keys."""
    document = copy.deepcopy(DOCUMENT)
    for path, value in values.items():
        *parents, last = path.split("__")
        table = document
        for key in parents:
            table = table[int(key)] if key.isdigit() else table[key]
        table[last] = value
    return document
