"""Fixed pages of a node: readiness, metrics and state."""

import typing

import circuits
from circuits.web import events as web_events
from circuits.web import servers

__all__ = ['Pages', 'open_pages']


def open_pages(
    root: circuits.BaseComponent,
    channel: str,
    address: tuple[str, int],
    page_by_path: typing.Mapping[str, typing.Callable[[], tuple[int, str]]],
) -> None:
    """Serve pages at ``address``, on a channel of their own under ``root``."""
    servers.BaseServer(
        address, channel=channel, display_banner=False
    ).register(root)
    Pages(channel, page_by_path).register(root)


class Pages(circuits.BaseComponent):
    """Answers GET requests for fixed paths on its own channel."""

    def __init__(
        self,
        channel: str,
        page_by_path: typing.Mapping[
            str, typing.Callable[[], tuple[int, str]]
        ],
    ):
        super().__init__(channel=channel)
        self._page_by_path = page_by_path

    @circuits.handler('request', priority=1)
    def _on_request(self, event, request, response) -> None:
        event.stop()
        event.success = False
        page = self._page_by_path.get(request.path)
        status, text = page() if page else (404, 'no such page\n')
        response.status = status
        response.headers['Content-Type'] = 'text/plain; charset=utf-8'
        response.body = text.encode()
        self.fire(web_events.response(response))
