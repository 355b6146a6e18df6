"""Membership of front ends: who is there (SWIM), and which share of the fleet's quota each may use."""
