"""A stand-in for the platform's list of VMs, which is set over HTTP.

It is started by ``python -m standins.vms PORT``.
"""

import asyncio
import sys

from standins import serving

__all__ = ['VmList']


class VmList:
    """The list of VMs in the platform's format."""

    def __init__(self) -> None:
        self._vm_by_id: dict[str, dict] = {}

    def show(self, body: dict) -> dict:
        """Return the list."""
        return {'vms': list(self._vm_by_id.values())}

    def put(self, body: dict) -> dict:
        """Add VMs or replace their entries."""
        for vm in body['vms']:
            self._vm_by_id[vm['id']] = vm
        return {}

    def remove(self, body: dict) -> dict:
        """Remove a VM from the list."""
        self._vm_by_id.pop(body['id'], None)
        return {}

    def handlers(self):
        """Return the list's handlers by method and path."""
        return {
            ('GET', '/v1/vms'): self.show,
            ('POST', '/v1/vms'): self.put,
            ('POST', '/v1/vms/remove'): self.remove,
        }


if __name__ == '__main__':
    asyncio.run(
        serving.serve(VmList().handlers(), '127.0.0.1', int(sys.argv[1]))
    )
