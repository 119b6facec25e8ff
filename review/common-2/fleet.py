"""Files of the fleet part, of the control part and of the contracts, for the cases."""

import socket

from rig import free_addresses, row

METHODS = [{"name": "read", "aim_ms": 1000, "deadline_ms": 2000}]
LEASES = "[leases]\nvoters = [0]\nlength_ms = 3000\nact_ms = 250\ndrift_permille = 10\n"


def fleet_file(rig, relay=None, service=None):
    """A fleet file of one gateway; with `relay`, servers come from the control part."""
    address = free_addresses(1, socket.SOCK_DGRAM)[0]
    text = f'revision = 1\naddresses = ["{address}"]\n\n{LEASES}'
    if relay:
        text += f'\n[control]\nrelays = ["{relay}"]\n'
        if service:
            text += f'service = "{service}"\n'
    path = rig.folder / "fleet.toml"
    path.write_text(text)
    return str(path)


def publisher_text(rig, name, listen="127.0.0.1:0", database=None, others=(), extra=""):
    """A publisher's file."""
    listed = ", ".join(f'"{address}"' for address in others)
    return (
        f'name = "{name}"\nregion = "west"\nlisten = "{listen}"\ndatabase = "{rig.folder}/{database or name}.sqlite"\n'
        f"others = [{listed}]\n{extra}"
    )


def relay_text(name, upstreams):
    """A relay's file."""
    listed = ", ".join(f'"{address}"' for address in upstreams)
    return f'name = "{name}"\nregion = "west"\nlisten = "127.0.0.1:0"\nupstreams = [{listed}]\n'


def server_item(name, address, service, **changes):
    """A server in a change file."""
    return row(name, address, **changes) | {"service": service}


SITES = """[[site]]
name = "hai-phong"
legs_per_s = 400

[[site]]
name = "cai-mep"
legs_per_s = 300

[[site]]
name = "can-tho"
legs_per_s = 300
"""


def contract_text(tenant, customer, rate, windows, goes=1):
    """One contract of a book; windows are (from, until, daily_from, daily_until), the last two may be None."""
    text = (
        f'\n[[contract]]\ntenant = "{tenant}"\ncustomers = ["{customer:016x}"]\nlegs_per_s = {rate}\nburst = 10\n'
        f"open = 20\ngoes = {goes}\n"
    )
    for begins, ends, daily_from, daily_until in windows:
        text += f'\n[[contract.window]]\nfrom = "{begins}"\nuntil = "{ends}"\n'
        if daily_from:
            text += f'daily_from = "{daily_from}"\ndaily_until = "{daily_until}"\n'
    return text
