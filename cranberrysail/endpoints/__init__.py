"""HTTP client for endpoints: forwarded calls and load reports."""
