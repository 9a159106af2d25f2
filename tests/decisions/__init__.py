"""Tests of cranberrysail.decisions."""
