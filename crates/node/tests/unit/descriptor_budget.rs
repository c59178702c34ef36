//! The table in the module's documentation.

use super::DescriptorBudget;
use crate::connection_budget::ConnectionBudget;

/// Connections of a budget while the process is alone, and while another of its node runs.
fn alone_and_halved(budget: &ConnectionBudget) -> (usize, usize) {
    let alone = budget.free();
    budget.set_halved(true, || {});
    (alone, budget.free())
}

#[test]
fn descriptors_are_divided_then_clients_and_upstream_get_what_the_table_says() {
    for (descriptors, has_admin_address, clients, upstream) in [
        (64, false, (27, 16), (13, 8)),
        (64, true, (16, 16), (8, 8)),
        (256, false, (139, 60), (69, 30)),
        (256, true, (120, 51), (60, 25)),
        (1024, false, (651, 316), (325, 158)),
        (1024, true, (632, 307), (316, 153)),
    ] {
        let budget = DescriptorBudget::divide(descriptors, has_admin_address);
        let case = format!("{descriptors} descriptors, admin address: {has_admin_address}");
        assert_eq!(budget.max_connections(), clients.0 + upstream.0, "{case}");
        assert_eq!(alone_and_halved(&budget.client_connections()), clients, "{case}");
        assert_eq!(alone_and_halved(&budget.upstream_connections()), upstream, "{case}");
    }
}
