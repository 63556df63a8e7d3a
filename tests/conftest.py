"""Fixtures shared by all tests."""

pytest_plugins = ['tests.processes']
