"""Tests of the translation to the platform."""
