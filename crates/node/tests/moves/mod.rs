//! Jobs on their way between two processes of a node, in the moments in which a client or a process leaves.
