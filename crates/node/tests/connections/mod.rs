//! Clients' connections in their narrow moments: who leaves, closes or sends just as the node does.
