"""Builders of JSON values of any content."""

from hypothesis import strategies as st

LONE_SURROGATE = "\ud800"
"""Text that no encoder accepts."""
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.just(10**400)
    | st.floats()
    | st.text()
    | st.just(LONE_SURROGATE),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
