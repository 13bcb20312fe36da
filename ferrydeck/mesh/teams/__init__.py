"""Teams: API keys, access control, the freshness of the policy, and quotas."""
