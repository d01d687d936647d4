"""Stand-ins of the platform, of replicas and of requesters for the cases from 6 on."""
