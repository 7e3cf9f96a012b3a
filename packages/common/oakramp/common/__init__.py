"""Constants, verdicts, env checking, log lines, registries and inboxes."""
