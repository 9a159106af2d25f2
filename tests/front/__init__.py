"""Tests of cranberrysail.front."""
