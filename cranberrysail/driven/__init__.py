"""Many nodes driven in virtual time, with traces."""
