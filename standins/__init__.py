"""Small stand-ins for the platform, for tests, benchmarks and the demo.

Nodes without an adapter use ``log``, ``vms`` and ``worker``; ``deployment``
starts them as processes, ``virtual`` runs them on a virtual clock. The
adapter to the users' platform uses ``keyed_log`` and ``runner``, in memory or
over HTTP by ``platform_http``.
"""
