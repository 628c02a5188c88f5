"""Start the small deployment and leave it running until a signal."""

import signal

from standins import deployment

__all__ = ['main']


def main() -> None:
    """Run the deployment until SIGINT or SIGTERM."""
    signals = {signal.SIGINT, signal.SIGTERM}
    # Processes started now must not inherit blocked signals.
    with deployment.Deployment() as running:
        signal.pthread_sigmask(signal.SIG_BLOCK, signals)
        for name in running.node_names:
            print(f'node {running.url_by_name[name]}')
        for name, process in running.process_by_name.items():
            print(f'pid {name} {process.pid}')
        print('ready', flush=True)
        signal.sigwait(signals)


if __name__ == '__main__':
    main()
