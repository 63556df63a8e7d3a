"""Fixtures for all tests."""

pytest_plugins = ['tests.processes']
