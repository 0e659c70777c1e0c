"""Scheduling of step jobs on minions by the leading control replica."""
