"""Tests of the crashes package."""
