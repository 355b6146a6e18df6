"""The front ends as one: who is there, and which part of the fleet's rations each may use."""
