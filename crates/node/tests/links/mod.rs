//! Connections to next hops in their narrow moments: late, second, broken and endless answers, resets, withdrawals.
