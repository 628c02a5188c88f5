"""A stand-in for the platform's list of VMs, set over HTTP."""

import asyncio
import sys

from aiohttp import web

from standins import serving

__all__ = ['VmList']


class VmList:
    """The list as the platform publishes it."""

    def __init__(self) -> None:
        self._vm_by_id: dict[str, dict] = {}

    async def show(self, request: web.Request) -> web.Response:
        """Return the list."""
        return serving.answer({'vms': list(self._vm_by_id.values())})

    async def put(self, request: web.Request) -> web.Response:
        """Add or change VMs."""
        for vm in (await serving.body_of(request))['vms']:
            self._vm_by_id[vm['id']] = vm
        return serving.answer({})

    async def remove(self, request: web.Request) -> web.Response:
        """Take a VM off the list."""
        self._vm_by_id.pop(request.match_info['id'], None)
        return serving.answer({})

    def routes(self):
        """Return the routes of the list."""
        return [
            web.get('/v1/vms', self.show),
            web.post('/v1/vms', self.put),
            web.delete('/v1/vms/{id}', self.remove),
        ]


if __name__ == '__main__':
    asyncio.run(
        serving.serve(VmList().routes(), '127.0.0.1', int(sys.argv[1]))
    )
