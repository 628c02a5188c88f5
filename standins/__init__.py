"""Small stand-ins for the platform, for tests, benchmarks and the demo."""
