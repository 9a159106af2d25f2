"""Tests of the serving router."""
