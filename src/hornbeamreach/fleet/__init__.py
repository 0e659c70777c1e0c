"""Scheduling of step jobs on minions by the leader of control."""
