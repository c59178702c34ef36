//! The watch on discovery in its narrow moments: silence, pieces, spoilt lines, changes of address.
