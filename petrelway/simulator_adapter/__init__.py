"""The drill: the decision module on the simulator's wire."""
