//! Short lives of one node, drawn from a seed, with what must hold after every event.
