"""Start the small deployment and leave it running until a signal."""

import signal
import sys

from standins import deployment

__all__ = ['main']


def _end(number: int, frame) -> None:
    """Exit by an exception, so that the deployment is cleaned up."""
    sys.exit(0)


def main() -> None:
    """Run the deployment until SIGINT or SIGTERM."""
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, _end)
    with deployment.Deployment() as running:
        for name in running.node_names:
            print(f'node {running.url_by_name[name]}')
        for name, process in running.process_by_name.items():
            print(f'pid {name} {process.pid}')
        print('ready', flush=True)
        while True:
            signal.pause()


if __name__ == '__main__':
    main()
